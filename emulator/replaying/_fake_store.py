"""Time the loads of a weight store during a replay."""

from emulator.replaying import trace_head


class FakeStore:
    """Start loads at a bounded rate, slower beyond a concurrency."""

    def __init__(self, limits: trace_head.TraceStore) -> None:
        """Start with nothing in transit."""
        self._limits = limits
        self._next_start_s: float = 0
        self._adapter_ends: list[float] = []
        self.models_in_transit = 0

    @property
    def free_slots(self) -> int:
        """Return how many more loads run at full speed."""
        return max(0, self._limits.concurrent_loads - self.models_in_transit)

    def start_model(self, now: float) -> float:
        """Begin a load and return its end in seconds."""
        start_s = max(now, self._next_start_s)
        self._next_start_s = start_s + 1 / self._limits.loads_per_s
        self.models_in_transit += 1
        crowding = self.models_in_transit / self._limits.concurrent_loads
        return start_s + self._limits.load_s * max(1, crowding)

    def end_model(self) -> None:
        """End a load."""
        self.models_in_transit -= 1

    def adapter_s(self, now: float) -> float:
        """Begin an adapter's load and return how long it takes."""
        self._adapter_ends = [end for end in self._adapter_ends if end > now]
        limits = self._limits
        share = len(self._adapter_ends) / limits.adapters_in_transit
        spread = limits.adapter_high_ms - limits.adapter_low_ms
        whole_ms = limits.adapter_low_ms + spread * min(1, share)
        whole_s = whole_ms * max(1, share) / 1000
        self._adapter_ends.append(now + whole_s)
        return whole_s
