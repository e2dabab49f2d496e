"""Answer sink for an answer that is sent as a whole."""

from emulator import answer_sink


class WholeSink(answer_sink.AnswerSink):
    """Answer sink that sends nothing before the answer is complete."""

    def start(self) -> None:
        """Do nothing: the headers are sent with the answer."""

    def write_tokens(
        self, first_index: int, texts: list[str], digest: str
    ) -> None:
        """Do nothing: the request keeps its tokens."""
