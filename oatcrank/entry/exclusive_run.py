"""Permission to use a server as the only suspect that may be refused next."""

import msgspec

from oatcrank import ids


class ExclusiveRun(msgspec.Struct, frozen=True, kw_only=True):
    """Exclusive run at a server; it ends after duration_s at the latest."""

    server: ids.ServerId
    holder: str
    duration_s: float
