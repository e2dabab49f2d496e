"""Wait for the turn of one request's prompt at a model server."""

import asyncio

from oatcrank.forwarding import caller_request, parts
from oatcrank.routing import pace, route, server

# A prompt waits for its turn for this share of its latency target at most,
# and for as long as this, in seconds.
TARGET_SHARE = 0.5
LONGEST_S = 0.5
# With fewer requests per slot a prompt goes to a server also late.
BEHIND_LOAD = 0.6


class PromptTurn:
    """Take turns at servers on behalf of one request."""

    def __init__(
        self,
        shared: parts.Parts,
        request: caller_request.CallerRequest,
        on_route: route.Route,
    ) -> None:
        """Wait as long as the route's latency target allows."""
        self._shared = shared
        self._tokens = request.prompt_tokens
        self._most_s = min(LONGEST_S, on_route.target_s * TARGET_SHARE)
        self.waited_s = float(0)

    async def wait(self, chosen: server.Server, *, must: bool) -> float | None:
        """Wait for the turn, or return how far off it is if that is too long.

        A prompt that must go waits for its turn in any case.
        """
        began_s = self._shared.now()
        prompt = pace.Prompt(
            tokens=self._tokens,
            most_s=self._most_s,
            must=must or chosen.load(began_s) < BEHIND_LOAD,
        )
        chosen.in_flight += 1
        try:
            wait_s = await self._shared.pacer.reserve(chosen.server_id, prompt)
            if wait_s > prompt.most_s and not prompt.must:
                return wait_s
            await asyncio.sleep(wait_s)
        finally:
            chosen.in_flight -= 1
            self.waited_s += self._shared.now() - began_s
        return None
