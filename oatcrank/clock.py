"""Tell the time in seconds from an arbitrary start."""

import abc
import time


class Clock(abc.ABC):
    """Tell a time that never goes back."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return seconds since an arbitrary start."""


class MonotonicClock(Clock):
    """Tell the machine's monotonic time."""

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()


class ManualClock(Clock):
    """Tell the time that a replay or a test has set."""

    def __init__(self, start: float = 0) -> None:
        """Start at the given time in seconds."""
        self.current = start

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        return self.current

    def advance(self, seconds: float) -> None:
        """Move the time on by seconds."""
        self.current += seconds
