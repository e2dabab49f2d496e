"""Derive the holder of each key from the records of a claim log."""

import collections
from collections.abc import Iterable

from oatcrank.claims import claim, claim_holder, claim_record

HEX_BASE = 16
FINGERPRINT_BITS = 64
RECORD_BITS = 47
RECORD_SHIFT = FINGERPRINT_BITS
INTERRUPTED_SHIFT = RECORD_SHIFT + RECORD_BITS
TICK_SHIFT = INTERRUPTED_SHIFT + 1
FINGERPRINT_MASK = (1 << FINGERPRINT_BITS) - 1
RECORD_MASK = (1 << RECORD_BITS) - 1
MARK_STEP_S = 300

StoredHolder = claim_holder.ClaimHolder | int


class ClaimState:
    """Apply records in order; deterministic, so all readers agree.

    Ended claims make up most of the state, so each is packed into one integer
    to save memory.  marks holds (tick, record number) pairs, one per
    MARK_STEP_S at most, to map an age to a record.
    """

    def __init__(self) -> None:
        """Start with the state before the first record."""
        self.number = 0
        self.tick = 0
        self.drop_before = 0
        self._stored_by_digest: dict[int, StoredHolder] = {}
        self.marks: collections.deque[tuple[int, int]] = collections.deque()

    def __len__(self) -> int:
        """Return the number of stored claims."""
        return len(self._stored_by_digest)

    def holder(self, digest: str) -> claim_holder.ClaimHolder | None:
        """Return the holder of a key, or None if the key is free."""
        stored = self._stored_by_digest.get(int(digest, HEX_BASE))
        return unpack_holder(stored) if isinstance(stored, int) else stored

    def apply(self, number: int, record: claim_record.ClaimRecord) -> None:
        """Apply the next record."""
        self.number = number
        self.tick = max(self.tick, record.tick)
        if not self.marks or self.tick >= self.marks[-1][0] + MARK_STEP_S:
            self.marks.append((self.tick, number))
        if record.drop_before > self.drop_before:
            self._drop(record.drop_before)
        for entry in record.entries:
            self._apply_entry(entry)

    def holders(self) -> list[tuple[int, StoredHolder]]:
        """Return all claims, oldest first."""
        return list(self._stored_by_digest.items())

    def restore(self, holders: Iterable[tuple[int, StoredHolder]]) -> None:
        """Add claims from a snapshot, in order."""
        self._stored_by_digest.update(holders)

    def first_needed_record(self) -> int:
        """Drop old marks; return the first record a claim can refer to."""
        first_record = 1
        # Records between two marks are less than one step apart in age.
        while (
            len(self.marks) > 1
            and self.marks[0][0] + MARK_STEP_S <= self.drop_before
        ):
            self.marks.popleft()
            first_record = self.marks[0][1]
        return first_record

    def _drop(self, drop_before: int) -> None:
        self.drop_before = drop_before
        expired = []
        for digest, stored in self._stored_by_digest.items():
            if _tick(stored) >= drop_before:
                break
            expired.append(digest)
        for dropped in expired:
            self._stored_by_digest.pop(dropped)

    def _apply_entry(self, entry: claim.Entry) -> None:
        digest = int(entry.digest, HEX_BASE)
        stored = self._stored_by_digest.get(digest)
        if isinstance(entry, claim.Claim):
            self._apply_claim(digest, stored, entry)
            return
        if isinstance(stored, int) or stored is None:
            return
        if not stored.is_attempt(entry.attempt):
            return
        if isinstance(entry, claim.Released):
            self._stored_by_digest.pop(digest)
        else:
            self._stored_by_digest[digest] = _pack(
                stored,
                self.number,
                interrupted=entry.interrupted,
            )

    def _apply_claim(
        self,
        digest: int,
        stored: StoredHolder | None,
        entry: claim.Claim,
    ) -> None:
        if isinstance(stored, int):
            return
        if stored is not None:
            if not entry.replaces or not stored.is_attempt(entry.replaces):
                return
            # Reinsert at the end: the dict is kept in tick order.
            self._stored_by_digest.pop(digest)
        self._stored_by_digest[digest] = claim_holder.ClaimHolder(
            fingerprint=entry.fingerprint,
            tick=self.tick,
            running=entry,
        )


def unpack_holder(packed: int) -> claim_holder.ClaimHolder:
    """Return the holder of an ended claim from its packed integer."""
    return claim_holder.ClaimHolder(
        fingerprint=packed & FINGERPRINT_MASK,
        tick=packed >> TICK_SHIFT,
        ended_in=(packed >> RECORD_SHIFT) & RECORD_MASK,
        interrupted=bool((packed >> INTERRUPTED_SHIFT) & 1),
    )


def to_stored(holder: claim_holder.ClaimHolder) -> StoredHolder:
    """Return the stored form of a holder, packed if the claim has ended."""
    if holder.running is not None:
        return holder
    return _pack(holder, holder.ended_in, interrupted=holder.interrupted)


def _pack(
    holder: claim_holder.ClaimHolder,
    number: int,
    *,
    interrupted: bool,
) -> int:
    packed = holder.fingerprint | number << RECORD_SHIFT
    packed |= int(interrupted) << INTERRUPTED_SHIFT
    return packed | holder.tick << TICK_SHIFT


def _tick(stored: StoredHolder) -> int:
    return stored >> TICK_SHIFT if isinstance(stored, int) else stored.tick
