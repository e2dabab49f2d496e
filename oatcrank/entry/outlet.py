"""Take the answer of a request as it comes."""

import abc
from collections.abc import Awaitable


class Outlet(abc.ABC):
    """Be where an answer goes: a caller's connection or a record."""

    @abc.abstractmethod
    def head(self, status: int, content_type: str) -> None:
        """Take the status and content type; later calls are ignored."""

    @abc.abstractmethod
    def write(self, chunk: bytes) -> Awaitable[None] | None:
        """Take a part of the body; awaiting it waits for a slow caller."""
