"""Define the messages that instances exchange."""

import msgspec

from oatcrank import ids
from oatcrank.cluster import lease_holder
from oatcrank.orders import demand, runs, store_load_limit
from oatcrank.routing import need


class PlacementQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the holder of the order lease to place a model or adapter.

    unusable lists the servers that the sender currently can't use.
    """

    wanted: need.Need
    unusable: tuple[ids.ServerId, ...] = ()


class PlacementReply(msgspec.Struct, frozen=True, kw_only=True):
    """Report where something is loaded, when it will be, or why it won't be.

    Without server_id, wait_s is the time until the next attempt.
    refusal_reason says why nothing was ordered.  If holder is newer than the
    one that was asked, it is to be asked instead.
    """

    wait_s: float
    server_id: ids.ServerId | None = None
    refusal_reason: str = msgspec.field(name='refused', default='')
    unplaceable: bool = msgspec.field(name='hopeless', default=False)
    holder: lease_holder.LeaseHolder | None = None


class DemandReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report the demand of an instance's callers over the last span_s seconds.

    running lists every request that the reporting instance has at servers now.
    """

    reporter: ids.InstanceId
    span_s: float
    samples: tuple[demand.DemandSample, ...] = msgspec.field(name='asked')
    running: tuple[runs.Running, ...] = ()


class UnloadNotice(msgspec.Struct, frozen=True, kw_only=True):
    """Announce that a server is about to unload a model."""

    server_id: ids.ServerId
    unloaded: need.Need = msgspec.field(name='dropped')


class StopQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Ask a former holder to send no more orders under an older fence.

    started_ms identifies the process that held the lease by its start time.
    """

    successor: lease_holder.LeaseHolder
    started_ms: int


class StopReply(msgspec.Struct, frozen=True, kw_only=True):
    """Confirm that no order follows, with the loads that still count.

    store_loads is None if the process was restarted since and can't know it.
    open_loads is how many of them servers may still begin.
    wait_s is the remaining wait in seconds of a lease term that had not begun.
    """

    wait_s: float = msgspec.field(name='waits_s')
    store_loads: int | None
    open_loads: int = 0

    @property
    def counted_loads(self) -> store_load_limit.CountedLoads | None:
        """Return the loads that the successor has to count, if known."""
        if self.store_loads is None:
            return None
        return store_load_limit.CountedLoads(self.store_loads, self.open_loads)


class ConfirmQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Ask whether a holder that can't renew its lease is still the newest."""

    holder: lease_holder.LeaseHolder


class Confirmation(msgspec.Struct, frozen=True, kw_only=True):
    """Report whether no newer holder is known, and the newest known one."""

    newest: bool
    holder: lease_holder.LeaseHolder | None = None


class Acknowledgement(msgspec.Struct, frozen=True):
    """Acknowledge a message that needs no reply."""
