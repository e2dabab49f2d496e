"""Inject faults between one instance and the key-value service."""

import asyncio
import contextlib

from oatcrank import errors, ids
from oatcrank.store import keyvalue


class FaultyKeyValue(keyvalue.KeyValue):
    """Forward calls to a shared service; the attributes inject faults.

    resumed: calls wait while this is not set, like in a paused process.
    down: every call fails without an effect.
    delay_s: every call takes at least this long.
    pause_after_write: the next write takes effect and then clears resumed.
    lose_answers: this many next writes lose their answers.
    late_writes: this many next writes lose their answers and take effect
    only with deliver_writes().
    """

    def __init__(self, shared: keyvalue.KeyValue) -> None:
        """Create a client without faults."""
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.down = False
        self.delay_s: float = 0
        self.pause_after_write = False
        self.lose_answers = 0
        self.late_writes = 0
        self._shared = shared
        self._delayed_writes: list[tuple[str, str, ids.Revision]] = []

    async def get(self, key: str) -> keyvalue.Entry | None:
        """Return the entry."""
        await self._begin()
        entry = await self._shared.get(key)
        await self.resumed.wait()
        return entry

    async def put(
        self,
        key: str,
        value: str,
        *,
        expected: ids.Revision,
    ) -> ids.Revision:
        """Write now, or later with a lost answer."""
        await self._begin()
        if self.late_writes:
            self.late_writes -= 1
            self._delayed_writes.append((key, value, expected))
            raise errors.UnknownOutcome(f'{key}: the write is delayed')
        revision = await self._shared.put(key, value, expected=expected)
        if self.pause_after_write:
            self.pause_after_write = False
            self.resumed.clear()
        await self.resumed.wait()
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.UnknownOutcome(f'{key}: the answer was lost')
        return revision

    async def delete(self, key: str) -> None:
        """Remove the key."""
        await self._begin()
        await self._shared.delete(key)

    async def watch(
        self,
        key: str,
        *,
        after: ids.Revision,
        wait_s: float,
    ) -> keyvalue.Entry | None:
        """Return the first entry newer than after, or None on timeout."""
        await self._begin()
        return await self._shared.watch(key, after=after, wait_s=wait_s)

    async def deliver_writes(self) -> None:
        """Apply the late writes whose revisions still match."""
        while self._delayed_writes:
            key, text, expected = self._delayed_writes.pop(0)
            with contextlib.suppress(errors.PlatformError):
                await self._shared.put(key, text, expected=expected)

    async def _begin(self) -> None:
        await self.resumed.wait()
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.down:
            raise errors.Unavailable('the key-value service is down')
