"""Encode heartbeats compactly if both ends track the same instances."""

import msgspec
import xxhash

from oatcrank.membership import exchange


class HeartbeatVector(msgspec.Struct, frozen=True):
    """Heartbeats in the order of the instance ids."""

    instance_ids: tuple[str, ...]
    heartbeats: tuple[exchange.Heartbeat, ...]

    @property
    def digest(self) -> str:
        """Return a hash of the ids and incarnations, without counts."""
        rows = [
            (instance_id, heartbeat.incarnation)
            for instance_id, heartbeat in zip(
                self.instance_ids, self.heartbeats, strict=True
            )
        ]
        return xxhash.xxh32_hexdigest(repr(rows).encode())

    @property
    def counts(self) -> tuple[int, ...]:
        """Return the heartbeat counts without ids and incarnations."""
        return tuple(heartbeat.count for heartbeat in self.heartbeats)

    def with_counts(
        self,
        counts: tuple[int, ...],
    ) -> dict[str, exchange.Heartbeat]:
        """Return the heartbeats by id for a peer's counts."""
        return {
            instance_id: exchange.Heartbeat(heartbeat.incarnation, count)
            for instance_id, heartbeat, count in zip(
                self.instance_ids,
                self.heartbeats,
                counts,
                strict=False,
            )
        }


def build(heartbeat_by_id: dict[str, exchange.Heartbeat]) -> HeartbeatVector:
    """Return a vector of heartbeats."""
    instance_ids = tuple(sorted(heartbeat_by_id))
    return HeartbeatVector(
        instance_ids,
        tuple(heartbeat_by_id[instance_id] for instance_id in instance_ids),
    )
