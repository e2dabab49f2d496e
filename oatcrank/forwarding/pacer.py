"""Wait for a prompt's turn at a model server."""

import abc

from oatcrank import ids


class Pacer(abc.ABC):
    """Space the prompts that all instances send to a server."""

    @abc.abstractmethod
    async def wait(
        self,
        server_id: ids.ServerId,
        tokens: int,
        most_s: float,
    ) -> None:
        """Return when a prompt of so many tokens may go, soon in any case."""
