"""Run a replay's actions in order of time."""

import heapq
import itertools
import math
from collections.abc import Callable

from oatcrank import clock

Action = Callable[[], None]


class HarnessTimeline:
    """Keep actions that are yet to come, and the time."""

    def __init__(self) -> None:
        """Start at time 0 with nothing to come."""
        self.clock = clock.ManualClock()
        self._actions: list[tuple[float, int, Action]] = []
        self._numbers = itertools.count()

    def now(self) -> float:
        """Return the time in seconds from the start."""
        return self.clock.now()

    def add(self, at_s: float, action: Action) -> None:
        """Run an action at a time; equal times run in order of adding."""
        heapq.heappush(self._actions, (at_s, next(self._numbers), action))

    def next_s(self) -> float:
        """Return the time of the next action, infinity if there is none."""
        return self._actions[0][0] if self._actions else math.inf

    def step(self) -> None:
        """Move the time on to the next action and run it."""
        at_s, _, action = heapq.heappop(self._actions)
        self.clock.current = at_s
        action()
