"""Define the interface that receives an engine's tokens."""

import abc


class AnswerSink(abc.ABC):
    """Receive the tokens of one answer as they are generated."""

    @abc.abstractmethod
    def start(self) -> None:
        """Handle the start of the request."""

    @abc.abstractmethod
    def write_tokens(
        self, first_index: int, texts: list[str], digest: str
    ) -> None:
        """Write tokens from an index on; digest is set with the last ones."""
