"""Define the records that identify the holder of the order lease."""

import msgspec

from oatcrank import decoding, ids, logs
from oatcrank.cluster import store, store_eras


class LeaseHolder(msgspec.Struct, frozen=True, kw_only=True):
    """Identify the holder of the order lease by address and fence."""

    instance_id: ids.InstanceId
    started_ms: int
    peer_address: str = msgspec.field(name='peer')
    fence: ids.Fence


class HolderRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Identify the holder of the order lease as stored.

    era is that of the store when the record was written.  earlier names the
    instances that may have sent orders shortly before another one did; None if
    they are unknown, as in records of earlier versions of this software.
    """

    instance_id: ids.InstanceId
    started_ms: int
    peer_address: str = msgspec.field(name='peer')
    era: ids.StoreEra = store_eras.UNNAMED_ERA
    earlier: tuple[ids.InstanceId, ...] | None = None


def decode_record(item: store.Item) -> HolderRecord | None:
    """Decode a store item; return None if it is malformed."""
    try:
        return decoding.from_json(item.value or b'', expected=HolderRecord)
    except msgspec.MsgspecError as error:
        logs.event('holder_record_malformed', key=item.key, error=error)
        return None
