"""Wait for a prompt slot at a model server."""

import asyncio

from oatcrank.forwarding import caller_request, request_dependencies
from oatcrank.routing import prompt_schedule, route, server

# The wait for a slot is limited to this share of the latency target and to
# this time in seconds.
MAX_WAIT_TARGET_SHARE = 0.5
MAX_WAIT_S = 0.5
# Below this load (requests per slot) a prompt waits for its slot even if the
# wait is longer.
WAIT_REQUIRED_BELOW_LOAD = 0.6


class PromptSlotWaiter:
    """Reserve prompt slots at servers for one request."""

    def __init__(
        self,
        dependencies: request_dependencies.RequestDependencies,
        request: caller_request.CallerRequest,
        request_route: route.Route,
    ) -> None:
        """Limit waits by the latency target of the route."""
        self._dependencies = dependencies
        self._tokens = request.prompt_tokens
        self._max_wait_s = min(
            MAX_WAIT_S,
            request_route.target_s * MAX_WAIT_TARGET_SHARE,
        )
        self.waited_s = float(0)

    async def wait(
        self, chosen: server.Server, *, required: bool
    ) -> float | None:
        """Wait for a slot; return None, or the wait in seconds if too long.

        If required, wait for the slot even if the wait is longer.
        """
        began_s = self._dependencies.now()
        prompt = prompt_schedule.Prompt(
            tokens=self._tokens,
            max_wait_s=self._max_wait_s,
            required=required
            or chosen.load(began_s) < WAIT_REQUIRED_BELOW_LOAD,
        )
        chosen.in_flight += 1
        try:
            wait_s = await self._dependencies.prompt_scheduler.reserve(
                chosen.server_id, prompt
            )
            if wait_s > prompt.max_wait_s and not prompt.required:
                return wait_s
            await asyncio.sleep(wait_s)
        finally:
            chosen.in_flight -= 1
            self.waited_s += self._dependencies.now() - began_s
        return None
