"""Define the scheduling of prompts at model servers."""

import abc

from oatcrank import ids
from oatcrank.routing import prompt_schedule


class PromptScheduler(abc.ABC):
    """Interface for scheduling the prompts of all instances at a server."""

    @abc.abstractmethod
    async def reserve(
        self,
        server_id: ids.ServerId,
        prompt: prompt_schedule.Prompt,
    ) -> float:
        """Reserve a prompt slot and return the wait for it in seconds.

        No slot is reserved if the wait is longer than the prompt allows.
        """
