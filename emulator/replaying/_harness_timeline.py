"""Event queue of a simulated replay."""

import heapq
import itertools
import math
from collections.abc import Callable

from oatcrank import clock

Action = Callable[[], None]


class HarnessTimeline:
    """Run scheduled actions in order of time and keep the simulated time."""

    def __init__(self) -> None:
        """Start at time 0 without actions."""
        self.clock = clock.ManualClock()
        self._actions: list[tuple[float, int, Action]] = []
        self._numbers = itertools.count()

    def now(self) -> float:
        """Return the time in seconds from the start."""
        return self.clock.now()

    def add(self, at_s: float, action: Action) -> None:
        """Schedule an action; equal times run in the order of scheduling."""
        heapq.heappush(self._actions, (at_s, next(self._numbers), action))

    def next_s(self) -> float:
        """Return the time of the next action, infinity if there is none."""
        return self._actions[0][0] if self._actions else math.inf

    def step(self) -> None:
        """Advance the time to the next action and run it."""
        at_s, _, action = heapq.heappop(self._actions)
        self.clock.current = at_s
        action()
