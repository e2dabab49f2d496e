"""Read and write the records of the order lease's holder in the store."""

import msgspec

from oatcrank import errors, ids, logs
from oatcrank.cluster import (
    lease_holder,
    members,
    order_turns,
    store,
    store_eras,
    store_mirror,
)

# Removed when the lease ends.
HOLDER_KEY = 'orders/holder'
# Outlives the lease, so that a successor can ask the former holder to stop.
LAST_HOLDER_KEY = 'orders/last'


class HolderRecords:
    """Records of the holder, and of the last one, for one instance."""

    def __init__(
        self,
        store_client: store.Store,
        mirror: store_mirror.StoreMirror,
        members: members.Members,
    ) -> None:
        """Write to a store, and read its copy."""
        self._store = store_client
        self._mirror = mirror
        self._members = members

    @property
    def era(self) -> ids.StoreEra:
        """Return the era of the store, as far as is known."""
        return self._mirror.era

    @property
    def is_free(self) -> bool:
        """Return whether no instance holds the lease, as far as is known."""
        return self._mirror.is_loaded and self._mirror.get(HOLDER_KEY) is None

    def holder(self) -> lease_holder.LeaseHolder | None:
        """Return the holder, or None if there is none."""
        item = self._mirror.get(HOLDER_KEY)
        record = None if item is None else lease_holder.decode_record(item)
        if item is None or record is None:
            return None
        return lease_holder.LeaseHolder(
            instance_id=record.instance_id,
            started_ms=record.started_ms,
            peer_address=record.peer_address,
            fence=ids.Fence(item.revision),
        )

    def last(self) -> store.Item | None:
        """Return the record of the last holder, or None if there is none."""
        return self._mirror.get(LAST_HOLDER_KEY)

    @property
    def is_own(self) -> bool:
        """Return whether this instance is the holder."""
        holder = self.holder()
        own = self._members.own
        return holder is not None and (
            (holder.instance_id, holder.started_ms)
            == (own.instance_id, own.started_ms)
        )

    async def write(
        self,
        former: store.Item | None,
        lease_id: ids.LeaseId,
        earlier: order_turns.EarlierIds,
    ) -> ids.Revision | None:
        """Record this instance as the holder after a former one.

        Return the revision, or None if another instance holds the lease.
        """
        encoded = self._encode_own(earlier)
        try:
            revision = await self._store.write(
                store.Transaction(
                    # Fails if another instance has held the lease since, as
                    # the former holder would then be the wrong one.
                    expected_revision_by_key={
                        HOLDER_KEY: store.ABSENT,
                        LAST_HOLDER_KEY: (
                            store.ABSENT if former is None else former.revision
                        ),
                    },
                    value_by_key={
                        HOLDER_KEY: encoded,
                        LAST_HOLDER_KEY: encoded,
                    },
                    lease_id=lease_id,
                    leased_keys=frozenset((HOLDER_KEY,)),
                ),
            )
        except store.RevisionConflict:
            return None
        except errors.UnknownOutcome:
            written = await self._written_revision(encoded)
            if written is None:
                return None
            revision = written
        self._mirror.apply(
            store.Item(key=HOLDER_KEY, value=encoded, revision=revision),
        )
        return revision

    async def remove(self, fence: int) -> ids.Revision:
        """Remove the record that was written under a fence."""
        return await self._store.write(
            store.Transaction(
                expected_revision_by_key={HOLDER_KEY: ids.Revision(fence)},
                removed_keys=(HOLDER_KEY,),
            ),
        )

    async def remove_own(self) -> None:
        """Remove a record of this instance that it has no term for.

        It is left over if the term ended early, or if a write of which the
        outcome was unknown was carried out late.
        """
        holder = self.holder()
        if holder is None or not self.is_own:
            return
        removed = await self.remove(holder.fence)
        self._mirror.apply(
            store.Item(key=HOLDER_KEY, value=None, revision=removed)
        )
        logs.event('order_lease_record_removed', fence=holder.fence)

    def _encode_own(self, earlier: order_turns.EarlierIds) -> bytes:
        own = self._members.own
        return msgspec.json.encode(
            lease_holder.HolderRecord(
                instance_id=own.instance_id,
                started_ms=own.started_ms,
                peer_address=own.peer_address,
                era=self.era,
                earlier=earlier,
            )
        )

    async def _written_revision(self, encoded: bytes) -> ids.Revision | None:
        """Return the revision of a write with a lost answer, if it was done."""
        stored = await self._store.read(HOLDER_KEY)
        if stored is None or stored.value != encoded:
            return None
        return stored.revision


def is_last_known(last: store.Item | None, era: ids.StoreEra) -> bool:
    """Return whether a record is that of the last holder, in an era.

    The store may have lost later records with an earlier era.
    """
    if last is None:
        return era == store_eras.UNNAMED_ERA
    record = lease_holder.decode_record(last)
    return record is not None and record.era == era
