"""Detect failed instances by missing heartbeats, using the local clock."""

from oatcrank import clock
from oatcrank.membership import exchange


class FailureDetector:
    """Consider an instance alive while its heartbeat advances."""

    def __init__(self, *, dead_after_s: float, time: clock.Clock) -> None:
        """Consider an instance dead after dead_after_s without an advance."""
        self.dead_after_s = dead_after_s
        self._time = time
        self._beat_by_id: dict[str, exchange.Beat] = {}
        self._advanced_s_by_id: dict[str, float] = {}

    def note(self, instance_id: str, beat: exchange.Beat) -> bool:
        """Record a heartbeat and return whether it is an advance."""
        known = self._beat_by_id.get(instance_id)
        if known is not None and beat <= known:
            return False
        self._beat_by_id[instance_id] = beat
        self._advanced_s_by_id[instance_id] = self._time.now()
        return True

    def beat(self, instance_id: str) -> exchange.Beat | None:
        """Return the newest heartbeat of an instance, alive or dead."""
        return self._beat_by_id.get(instance_id)

    def silent_s(self, instance_id: str) -> float:
        """Return the seconds since the last advance, or infinity."""
        advanced_s = self._advanced_s_by_id.get(instance_id)
        if advanced_s is None:
            return float('inf')
        return self._time.now() - advanced_s

    def is_alive(self, instance_id: str) -> bool:
        """Return whether the heartbeat advanced within dead_after_s."""
        return self.silent_s(instance_id) <= self.dead_after_s

    def beat_by_id(self) -> dict[str, exchange.Beat]:
        """Return the heartbeats of the instances considered alive."""
        return {
            instance_id: beat
            for instance_id, beat in self._beat_by_id.items()
            if self.is_alive(instance_id)
        }

    def forget(self, instance_id: str) -> None:
        """Drop an instance; its old heartbeats would count as an advance."""
        self._beat_by_id.pop(instance_id, None)
        self._advanced_s_by_id.pop(instance_id, None)
