"""Name who holds the order lease."""

import msgspec

from oatcrank import ids, logs
from oatcrank.cluster import store


class Holding(msgspec.Struct, frozen=True, kw_only=True):
    """Name the holder of the order lease, and where to ask it."""

    instance_id: ids.InstanceId
    started_ms: int
    peer: str
    fence: ids.Fence


class HolderRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Name the holder of the order lease in the store, and where to ask it."""

    instance_id: ids.InstanceId
    started_ms: int
    peer: str


def decoded(item: store.Item) -> HolderRecord | None:
    """Return the record in an item, or None if it can't be read."""
    try:
        return msgspec.json.decode(item.value or b'', type=HolderRecord)
    except msgspec.MsgspecError as error:
        logs.event('holder_record_unreadable', key=item.key, error=error)
        return None
