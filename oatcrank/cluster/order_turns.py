"""Decide when this instance may order again after others have.

A server must not get orders from one instance, from a second one and from the
first again within the lease duration.  A process knows when it has sent orders
itself, but not when an earlier process of the same machine has.  So the record
of each holder names the instances that may have sent orders shortly before.
"""

import msgspec

from oatcrank import ids
from oatcrank.cluster import lease_holder, store
from oatcrank.orders import boot_clock, lease_term

# None if they are unknown.
EarlierIds = tuple[ids.InstanceId, ...] | None


class FormerHolder(msgspec.Struct, frozen=True, kw_only=True):
    """What is known of the last holder, which is to be succeeded.

    record is None if there was none; is_known is false if another instance may
    have held the lease since.  The record has been there for watched_s or more.
    """

    record: lease_holder.HolderRecord | None
    is_known: bool
    watched_s: float


class OrderTurns:
    """Follow the records of the holders on behalf of one process."""

    def __init__(self, own_id: ids.InstanceId) -> None:
        """Begin with this process, which has sent no orders yet."""
        self._own_id = own_id
        self._began_s = boot_clock.now()
        self._last_revision: ids.Revision | None = None
        self._last_since_s = self._began_s
        self._free_since_s: float | None = None

    def watch(self, last: store.Item | None, *, is_free: bool) -> None:
        """Note the record of the last holder, and whether it still is it."""
        now_s = boot_clock.now()
        revision = None if last is None else last.revision
        if revision != self._last_revision:
            self._last_revision = revision
            self._last_since_s = now_s
        if not is_free:
            self._free_since_s = None
        elif self._free_since_s is None:
            self._free_since_s = now_s

    def free_s(self) -> float | None:
        """Return for how long there has been no holder; None if there is."""
        if self._free_since_s is None:
            return None
        return boot_clock.now() - self._free_since_s

    def former(
        self, last: store.Item | None, *, is_known: bool
    ) -> FormerHolder:
        """Return what the watched record of the last holder says."""
        return FormerHolder(
            record=None if last is None else lease_holder.decode_record(last),
            is_known=is_known,
            watched_s=boot_clock.now() - self._last_since_s,
        )

    def own_orders_end_s(
        self,
        former: FormerHolder,
        last_order_s: float,
        lease_duration_s: float,
    ) -> float:
        """Return from when this machine's earlier orders no longer count.

        Those of earlier processes were sent before this one began.
        """
        if may_have_ordered(former, self._own_id):
            last_order_s = max(last_order_s, self._began_s)
        return last_order_s + lease_duration_s

    def earlier_ids(
        self, former: FormerHolder, lease_duration_s: float
    ) -> EarlierIds:
        """Return the instances that a record of this one has to name."""
        return earlier_ids(former, self._own_id, lease_duration_s)


def earlier_ids(
    former: FormerHolder, own_id: ids.InstanceId, lease_duration_s: float
) -> EarlierIds:
    """Return the instances that the record of a successor has to name.

    Those named by a record have stopped when its holder began to send orders,
    and are left out once this is a lease duration ago.
    """
    if not former.is_known:
        return None
    if former.record is None:
        return ()
    earlier = former.record.earlier
    if former.watched_s >= lease_term.UNKNOWN_FORMER_STOPS_S + lease_duration_s:
        earlier = ()
    if earlier is None or former.record.instance_id == own_id:
        return earlier
    return tuple(sorted({*earlier, former.record.instance_id}))


def may_have_ordered(former: FormerHolder, own_id: ids.InstanceId) -> bool:
    """Return whether this machine may have ordered shortly before another."""
    if not former.is_known:
        return True
    if former.record is None:
        return False
    earlier = former.record.earlier
    return earlier is None or own_id in earlier
