"""Record in the store which parts of prompts are refused.

An instance that has just started was not told of the crashes before it.
"""

import asyncio
import time

from oatcrank import errors, ids, logs
from oatcrank.cluster import members, store, store_mirror
from oatcrank.routing import crashing_parts

# Followed by the id of the part.
KEY_PREFIX = 'crashing-prompt-parts/'
CHECK_INTERVAL_S = 0.1
WRITE_INTERVAL_S = 0.5
# Instances that write a record, in case that the first one has just ended.
WRITERS = 2
# A part is tried again after this long: the servers may have been mended.
LIFETIME_S = 3600.0
# Further parts are refused without a record.
MAX_RECORDS = 256


class CrashingPartRecords:
    """Refuse parts that crash servers, and keep the records up to date."""

    def __init__(
        self,
        store_client: store.Store,
        mirror: store_mirror.StoreMirror,
        members: members.Members,
        parts: crashing_parts.CrashingParts,
    ) -> None:
        """Write a record of each refused part."""
        self._store = store_client
        self._mirror = mirror
        self._members = members
        self._parts = parts

    async def run(self) -> None:
        """Evaluate crashes and write the records until cancelled."""
        next_write_s = float(0)
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.evaluate()
            now_s = asyncio.get_running_loop().time()
            if now_s >= next_write_s and self._mirror.is_current:
                next_write_s = now_s + WRITE_INTERVAL_S
                await self._write_records()

    def evaluate(self) -> None:
        """Refuse the parts that the known crashes have in common."""
        for part in self._parts.update(asyncio.get_running_loop().time()):
            logs.event('prompt_part_refused', part=part, source='crashes')

    async def _write_records(self) -> None:
        refused_keys = {KEY_PREFIX + part for part in self._parts.refused()}
        recorded_keys = set(self._mirror.keys(KEY_PREFIX))
        free_records = max(0, MAX_RECORDS - len(recorded_keys))
        for new_key in sorted(refused_keys - recorded_keys)[:free_records]:
            await self._write(new_key, _creation(new_key))
        for old_key in sorted(recorded_keys):
            item = self._mirror.get(old_key)
            if item is None:
                continue
            if old_key not in refused_keys or _is_expired(item):
                await self._write(old_key, _removal(item))

    async def _write(self, key: str, transaction: store.Transaction) -> None:
        """Write a record if all instances choose this one to do so."""
        if self._members.own not in self._members.ranked(key, WRITERS):
            return
        try:
            await self._store.write(transaction)
        except store.RevisionConflict:
            # The other writer was first.
            return
        except errors.PlatformError as error:
            # The next round tries again.
            logs.event('crashing_part_record_failed', key=key, error=error)


def apply_record(
    item: store.Item,
    parts: crashing_parts.CrashingParts,
    now_s: float,
) -> None:
    """Refuse a part that was recorded, or clear one whose record is gone."""
    part = ids.PromptPart(item.key.removeprefix(KEY_PREFIX))
    if item.value is None:
        logs.event('prompt_parts_cleared', parts=part, source='record')
        parts.clear((part,), now_s)
    elif parts.adopt(part, now_s):
        logs.event('prompt_part_refused', part=part, source='record')


def _creation(key: str) -> store.Transaction:
    return store.Transaction(
        expected_revision_by_key={key: store.ABSENT},
        value_by_key={key: str(int(time.time())).encode()},
    )


def _removal(item: store.Item) -> store.Transaction:
    return store.Transaction(
        expected_revision_by_key={item.key: item.revision},
        removed_keys=(item.key,),
    )


def _is_expired(item: store.Item) -> bool:
    """Return whether a record is too old or not readable."""
    try:
        written_s = int(item.value or b'')
    except ValueError as error:
        logs.event('crashing_part_record_failed', key=item.key, error=error)
        return True
    return time.time() - written_s > LIFETIME_S
