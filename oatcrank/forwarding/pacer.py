"""Wait for a prompt's turn at a model server."""

import abc

from oatcrank import ids
from oatcrank.routing import pace


class Pacer(abc.ABC):
    """Space the prompts that all instances send to a server."""

    @abc.abstractmethod
    async def reserve(
        self,
        server_id: ids.ServerId,
        prompt: pace.Prompt,
    ) -> float:
        """Return how long a prompt waits for its turn, in seconds.

        It has no turn where that is longer than it would wait.
        """
