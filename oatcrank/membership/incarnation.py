"""Count the starts of an instance, which has no local storage."""

from oatcrank import errors, ids, logs
from oatcrank.store import keyvalue

MAX_ATTEMPTS = 3
FIRST_INCARNATION = 1


async def count_start(
    store: keyvalue.KeyValue,
    instance_id: ids.InstanceId,
) -> int:
    """Return a number higher than in all earlier starts, or 1 in an outage.

    After an outage, membership raises it above the one that peers know.
    """
    key = f'incarnations/{instance_id}'
    for _ in range(MAX_ATTEMPTS):
        try:
            return await _increment(store, key)
        except errors.PlatformError as error:
            logs.event('start_count_failed', error=error)
    return FIRST_INCARNATION


async def _increment(store: keyvalue.KeyValue, key: str) -> int:
    entry = await store.get(key)
    count = FIRST_INCARNATION if entry is None else int(entry.value) + 1
    revision = keyvalue.ABSENT if entry is None else entry.revision
    await store.put(key, str(count), expected=revision)
    return count
