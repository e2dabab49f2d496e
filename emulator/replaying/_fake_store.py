"""Simulated load times of a weight store."""

from emulator.replaying import trace_header


class FakeStore:
    """Start loads at a limited rate; loads beyond the concurrency slow down."""

    def __init__(self, limits: trace_header.TraceStore) -> None:
        """Start without loads in progress."""
        self._limits = limits
        self._next_start_s: float = 0
        self._adapter_ends: list[float] = []
        self.loads_in_progress = 0

    @property
    def free_load_slots(self) -> int:
        """Return how many more loads run at full speed."""
        return max(0, self._limits.concurrent_loads - self.loads_in_progress)

    def start_model_load(self, now: float) -> float:
        """Start a model load and return its end time in seconds."""
        start_s = max(now, self._next_start_s)
        self._next_start_s = start_s + 1 / self._limits.loads_per_s
        self.loads_in_progress += 1
        slowdown = self.loads_in_progress / self._limits.concurrent_loads
        return start_s + self._limits.load_s * max(1, slowdown)

    def end_model_load(self) -> None:
        """Count a model load as ended."""
        self.loads_in_progress -= 1

    def start_adapter_load(self, now: float) -> float:
        """Start an adapter load and return its duration in seconds."""
        self._adapter_ends = [end for end in self._adapter_ends if end > now]
        limits = self._limits
        utilization = len(self._adapter_ends) / limits.adapters_in_transit
        range_ms = limits.adapter_high_ms - limits.adapter_low_ms
        load_ms = limits.adapter_low_ms + range_ms * min(1, utilization)
        load_s = load_ms * max(1, utilization) / 1000
        self._adapter_ends.append(now + load_s)
        return load_s
