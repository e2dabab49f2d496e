"""Define what instances tell each other."""

import msgspec

from oatcrank import ids
from oatcrank.cluster import holding
from oatcrank.orders import demand, runs
from oatcrank.routing import need


class ArrangeQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Ask the holder of the order lease to have something loaded.

    unusable names servers that the asker can't use at the moment.
    """

    wanted: need.Need
    unusable: tuple[ids.ServerId, ...] = ()


class Arranged(msgspec.Struct, frozen=True, kw_only=True):
    """Say where something is held, or how soon, or why it won't be.

    Without a server the wait in seconds is when to ask again; holder names
    another holder that is to be asked instead.
    """

    wait_s: float
    server_id: ids.ServerId | None = None
    refused: str = ''
    hopeless: bool = False
    holder: holding.Holding | None = None


class DemandReport(msgspec.Struct, frozen=True, kw_only=True):
    """Tell what callers have asked for since the last report, or longer.

    running is all that the reporting instance has at servers now.
    """

    reporter: ids.InstanceId
    span_s: float
    asked: tuple[demand.Asked, ...]
    running: tuple[runs.Running, ...] = ()


class CrashReport(msgspec.Struct, frozen=True, kw_only=True):
    """Name requests that were running on a server that crashed."""

    fingerprints: tuple[int, ...]


class UnloadNews(msgspec.Struct, frozen=True, kw_only=True):
    """Tell that a server is about to drop a model."""

    server_id: ids.ServerId
    dropped: need.Need


class StopQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Ask a former holder to give no more orders under an older fence.

    started_ms names the start of the process that held the lease.
    """

    successor: holding.Holding
    started_ms: int


class Stopped(msgspec.Struct, frozen=True, kw_only=True):
    """Say that no order follows, and how many loads may have begun lately.

    A process that was started since doesn't know of loads.

    waits_s is left of a turn that had not begun, in seconds.
    """

    waits_s: float
    store_loads: int | None


class VouchQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Ask whether a holder that can't renew its lease is still the newest."""

    holder: holding.Holding


class Vouched(msgspec.Struct, frozen=True, kw_only=True):
    """Say whether no newer holder is known; if one is, which."""

    newest: bool
    holder: holding.Holding | None = None


class Done(msgspec.Struct, frozen=True):
    """Acknowledge a message that asks for nothing."""
