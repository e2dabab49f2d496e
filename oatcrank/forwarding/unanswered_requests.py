"""Give up requests without an answer before a planned stop ends them."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from oatcrank.forwarding import refusal
from oatcrank.transport import reply


class _Limited:
    """A request whose answer may not have begun."""

    def __init__(self, out: reply.Reply, timeout: asyncio.Timeout) -> None:
        self.out = out
        self.timeout = timeout
        self.given_up = False


class UnansweredRequests:
    """Requests in progress that can still be refused as a whole."""

    def __init__(self) -> None:
        """Start without requests."""
        self._limited: set[_Limited] = set()
        self._are_given_up = False

    @contextlib.asynccontextmanager
    async def limit(
        self, out: reply.Reply, deadline_s: float | None
    ) -> AsyncIterator[None]:
        """Limit work on a request whose answer is written to out.

        Raises TimeoutError at the deadline, and refusal.InstanceStopping once
        requests are given up, unless the answer has begun by then.
        """
        self._check_not_given_up(out)
        timeout = asyncio.timeout_at(deadline_s)
        limited = _Limited(out, timeout)
        self._limited.add(limited)
        try:
            async with timeout:
                yield
        except TimeoutError:
            if limited.given_up:
                raise refusal.InstanceStopping from None
            raise
        finally:
            self._limited.discard(limited)

    def give_up(self) -> None:
        """Refuse all requests whose answers have not begun."""
        self._are_given_up = True
        now_s = asyncio.get_running_loop().time()
        for limited in self._limited:
            if not limited.out.started:
                limited.given_up = True
                limited.timeout.reschedule(now_s)

    def _check_not_given_up(self, out: reply.Reply) -> None:
        if self._are_given_up and not out.started:
            raise refusal.InstanceStopping
