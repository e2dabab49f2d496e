"""Describe where an engine's tokens go."""

import abc


class AnswerSink(abc.ABC):
    """Take the start and the tokens of one answer."""

    @abc.abstractmethod
    def start(self) -> None:
        """Take note that the request runs."""

    @abc.abstractmethod
    def take(self, first: int, texts: list[str], digest: str) -> None:
        """Take tokens from index first on; the digest comes with the last."""
