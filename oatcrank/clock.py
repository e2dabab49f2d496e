"""Clocks that measure seconds from an arbitrary start."""

import abc
import time


class Clock(abc.ABC):
    """Interface for a clock whose time never goes back."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return seconds since an arbitrary start."""


class MonotonicClock(Clock):
    """Clock of the operating system's monotonic time."""

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()


class ManualClock(Clock):
    """Clock that a replay or a test sets."""

    def __init__(self, start: float = 0) -> None:
        """Start at the given time in seconds."""
        self.current = start

    def now(self) -> float:
        """Return seconds since an arbitrary start."""
        return self.current

    def advance(self, seconds: float) -> None:
        """Advance the time by a number of seconds."""
        self.current += seconds
