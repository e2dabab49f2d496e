"""Detect failed instances by missing heartbeats, using the local clock."""

from oatcrank import clock
from oatcrank.membership import exchange


class FailureDetector:
    """Consider an instance alive while its heartbeat advances."""

    def __init__(self, *, dead_after_s: float, clock: clock.Clock) -> None:
        """Consider an instance dead after dead_after_s without an advance."""
        self.dead_after_s = dead_after_s
        self._clock = clock
        self._heartbeat_by_id: dict[str, exchange.Heartbeat] = {}
        self._advanced_s_by_id: dict[str, float] = {}

    def record(self, instance_id: str, heartbeat: exchange.Heartbeat) -> bool:
        """Record a heartbeat and return whether it is an advance."""
        known = self._heartbeat_by_id.get(instance_id)
        if known is not None and heartbeat <= known:
            return False
        self._heartbeat_by_id[instance_id] = heartbeat
        self._advanced_s_by_id[instance_id] = self._clock.now()
        return True

    def heartbeat(self, instance_id: str) -> exchange.Heartbeat | None:
        """Return the newest heartbeat of an instance, alive or dead."""
        return self._heartbeat_by_id.get(instance_id)

    def silent_s(self, instance_id: str) -> float:
        """Return the seconds since the last advance, or infinity."""
        advanced_s = self._advanced_s_by_id.get(instance_id)
        if advanced_s is None:
            return float('inf')
        return self._clock.now() - advanced_s

    def is_alive(self, instance_id: str) -> bool:
        """Return whether the heartbeat advanced within dead_after_s."""
        return self.silent_s(instance_id) <= self.dead_after_s

    def heartbeat_by_id(self) -> dict[str, exchange.Heartbeat]:
        """Return the heartbeats of the instances considered alive."""
        return {
            instance_id: heartbeat
            for instance_id, heartbeat in self._heartbeat_by_id.items()
            if self.is_alive(instance_id)
        }

    def forget(self, instance_id: str) -> None:
        """Drop an instance; its old heartbeats would count as an advance."""
        self._heartbeat_by_id.pop(instance_id, None)
        self._advanced_s_by_id.pop(instance_id, None)
