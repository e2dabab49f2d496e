"""Interface that receives the answer of a request as it arrives."""

import abc
from collections.abc import Awaitable


class ResponseWriter(abc.ABC):
    """Base class for receivers of answers, such as a caller's connection."""

    @abc.abstractmethod
    def write_head(self, status: int, content_type: str) -> None:
        """Set the status and content type; later calls are ignored."""

    @abc.abstractmethod
    def write(self, chunk: bytes) -> Awaitable[None] | None:
        """Write a chunk of the body; await the result for backpressure."""
