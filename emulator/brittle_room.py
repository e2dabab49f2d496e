"""Room of a worker that ends if it turns too many requests away."""

import time


class BrittleRoom:
    """Count the requests that run and those that are turned away.

    waiting: requests beyond the slots that there is room for; they run too.
    """

    def __init__(self, slots: int, rejections_per_s: float) -> None:
        """Let slots requests run, and end after more rejections in a second."""
        self.slots = slots
        self.rejections_per_s = rejections_per_s
        self.waiting = 0
        self.running = 0
        self._rejected_s: list[float] = []

    @property
    def has_fallen(self) -> bool:
        """Return whether too many requests were turned away in a second."""
        recent_s = time.monotonic() - 1
        rejected = sum(at_s > recent_s for at_s in self._rejected_s)
        return rejected > self.rejections_per_s

    def enter(self) -> bool:
        """Return whether there is room for a request, which then runs."""
        if self.running >= self.slots + self.waiting:
            self._rejected_s.append(time.monotonic())
            return False
        self.running += 1
        return True

    def leave(self) -> None:
        """End a request."""
        self.running -= 1

    def headers(self) -> dict[str, str]:
        """Return the headers of all answers."""
        return {
            'Server-Brittle': f'{self.rejections_per_s}',
            'X-Server-Load': f'{self.running},0,{self.slots}',
        }
