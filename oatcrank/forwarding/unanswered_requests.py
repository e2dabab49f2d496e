"""Give up requests without an answer before a planned stop ends them."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from oatcrank.forwarding import refusal
from oatcrank.transport import reply


class _Limited:
    """A request whose answer may not have begun."""

    def __init__(self, out: reply.Reply) -> None:
        self._out = out
        self._task = asyncio.current_task()
        self._given_up = False

    def give_up(self) -> None:
        """Cancel the work unless its answer has begun."""
        if self._task is not None and not self._out.started:
            # Unlike a timeout, this lets the work take no further step.
            self._given_up = True
            self._task.cancel()

    def end(self) -> bool:
        """Return whether the work ends only because it was given up."""
        if self._task is None or not self._given_up:
            return False
        return not self._task.uncancel()


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
        limited = _Limited(out)
        self._limited.add(limited)
        try:
            async with asyncio.timeout_at(deadline_s):
                yield
        except asyncio.CancelledError:
            if limited.end():
                raise refusal.InstanceStopping from None
            raise
        finally:
            self._limited.discard(limited)

    def give_up(self) -> None:
        """Refuse all requests whose answers have not begun."""
        self._are_given_up = True
        for limited in self._limited:
            limited.give_up()

    def _check_not_given_up(self, out: reply.Reply) -> None:
        if self._are_given_up and not out.started:
            raise refusal.InstanceStopping
