"""In-process stand-in for the key-value service, with faults."""

import asyncio
import collections

from oatcrank import errors, ids
from oatcrank.store import keyvalue


class MemoryKeyValue(keyvalue.KeyValue):
    """Key-value service in memory; public attributes inject faults.

    down: every call fails before it has any effect.
    lose_answers: number of next writes that take effect without an answer.
    lose_requests: number of next writes without an effect or an answer.
    stale_reads: get returns the entry from before the key's last write.
    delay_s: minimum duration of every call.
    """

    def __init__(self) -> None:
        """Start empty and without faults."""
        self.down = False
        self.lose_answers = 0
        self.lose_requests = 0
        self.stale_reads = False
        self.delay_s: float = 0
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self._revision = keyvalue.ABSENT
        self._entry_by_key: dict[str, keyvalue.Entry] = {}
        self._previous_by_key: dict[str, keyvalue.Entry | None] = {}
        self._changed = asyncio.Condition()

    async def get(self, key: str) -> keyvalue.Entry | None:
        """Return the entry, which may be stale, or None if absent."""
        await self._begin_call('get')
        if self.stale_reads and key in self._previous_by_key:
            return self._previous_by_key[key]
        return self._entry_by_key.get(key)

    async def put(
        self,
        key: str,
        value: str,
        *,
        expected: ids.Revision,
    ) -> ids.Revision:
        """Write if the revision matches and return the new revision."""
        await self._begin_call('put')
        if self.lose_requests:
            self.lose_requests -= 1
            raise errors.UnknownOutcome(f'{key}: the request was lost')
        revision = await self._write(key, value, expected)
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.UnknownOutcome(f'{key}: the answer was lost')
        return revision

    async def delete(self, key: str) -> None:
        """Remove the key."""
        await self._begin_call('delete')
        self._entry_by_key.pop(key, None)

    async def watch(
        self,
        key: str,
        *,
        after: ids.Revision,
        wait_s: float,
    ) -> keyvalue.Entry | None:
        """Return the first entry newer than after, or None after wait_s."""
        await self._begin_call('watch')
        try:
            async with asyncio.timeout(wait_s):
                return await self._wait_for_newer(key, after)
        except TimeoutError:
            return None

    def keys(self, prefix: str) -> list[str]:
        """Return the keys with a prefix; not counted as a call."""
        return sorted(
            key for key in self._entry_by_key if key.startswith(prefix)
        )

    async def _begin_call(self, kind: str) -> None:
        self.calls_by_kind[kind] += 1
        await asyncio.sleep(self.delay_s)
        if self.down:
            raise errors.Unavailable('the key-value service is down')

    async def _write(
        self,
        key: str,
        value: str,
        expected: ids.Revision,
    ) -> ids.Revision:
        previous = self._entry_by_key.get(key)
        revision = keyvalue.ABSENT if previous is None else previous.revision
        if revision != expected:
            raise errors.Conflict(key, revision)
        self._revision = ids.Revision(self._revision + 1)
        self._previous_by_key[key] = previous
        self._entry_by_key[key] = keyvalue.Entry(value, self._revision)
        async with self._changed:
            self._changed.notify_all()
        return self._revision

    async def _wait_for_newer(
        self, key: str, after: ids.Revision
    ) -> keyvalue.Entry:
        async with self._changed:
            while True:
                if self.down:
                    raise errors.Unavailable('the key-value service is down')
                entry = self._entry_by_key.get(key)
                if entry is not None and entry.revision > after:
                    return entry
                await self._changed.wait()
