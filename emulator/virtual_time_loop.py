"""Event loop in virtual time, which advances only while it is idle."""

import asyncio
import selectors

from oatcrank import clock


class _VirtualSelector(selectors.SelectSelector):
    """Selector that adds up the timeouts instead of waiting."""

    skipped_s: float = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready now; if nothing is, skip the timeout."""
        ready = super().select(0)
        if not ready and timeout is not None:
            self.skipped_s += max(0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time; only for tasks that use no sockets."""

    def __init__(self) -> None:
        """Start at time zero."""
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_selector.skipped_s


class LoopClock(clock.Clock):
    """Clock that returns the time of an event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Set the loop."""
        self._loop = loop

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return self._loop.time()
