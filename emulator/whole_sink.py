"""Take an answer that is sent as a whole."""

from emulator import answer_sink


class WholeSink(answer_sink.AnswerSink):
    """Leave the tokens where they are kept."""

    def start(self) -> None:
        """Take note that the request runs."""

    def write_tokens(
        self, first_index: int, texts: list[str], digest: str
    ) -> None:
        """Take tokens from index first on."""
