"""Encode heartbeats compactly if both ends track the same instances."""

import msgspec
import xxhash

from oatcrank.membership import exchange


class Roll(msgspec.Struct, frozen=True):
    """Heartbeats in the order of the instance ids."""

    names: tuple[str, ...]
    beats: tuple[exchange.Beat, ...]

    @property
    def digest(self) -> str:
        """Return a hash of the names and incarnations, without counts."""
        rows = [
            (name, beat.incarnation)
            for name, beat in zip(self.names, self.beats, strict=True)
        ]
        return xxhash.xxh32_hexdigest(repr(rows).encode())

    @property
    def counts(self) -> tuple[int, ...]:
        """Return the heartbeat counts without ids and incarnations."""
        return tuple(beat.count for beat in self.beats)

    def with_counts(
        self,
        counts: tuple[int, ...],
    ) -> dict[str, exchange.Beat]:
        """Return the heartbeats by id for a peer's counts."""
        return {
            name: exchange.Beat(beat.incarnation, count)
            for name, beat, count in zip(
                self.names,
                self.beats,
                counts,
                strict=False,
            )
        }


def roll_of(beat_by_id: dict[str, exchange.Beat]) -> Roll:
    """Return the heartbeats in the order of their ids."""
    names = tuple(sorted(beat_by_id))
    return Roll(names, tuple(beat_by_id[name] for name in names))
