"""Run an event loop whose time passes only when it has nothing to do."""

import asyncio
import selectors

from oatcrank import clock


class _VirtualSelector(selectors.SelectSelector):
    """Skip the waits instead of sitting them out."""

    skipped_s: float = 0

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready now, and let the time asked for pass."""
        ready = super().select(0)
        if not ready and timeout is not None:
            self.skipped_s += max(0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Tell virtual time; only for tasks that use no sockets."""

    def __init__(self) -> None:
        """Start at zero."""
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the seconds that passed."""
        return self._virtual.skipped_s


class LoopClock(clock.Clock):
    """Tell the time of an event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Tell this loop's time."""
        self._loop = loop

    def now(self) -> float:
        """Return the seconds that passed."""
        return self._loop.time()
