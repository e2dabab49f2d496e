"""Show one instance a key-value service with faults of its own."""

import asyncio
import contextlib

from oatcrank import errors, ids
from oatcrank.store import keyvalue


class FaultyKeyValue(keyvalue.KeyValue):
    """Pass calls on to a shared service; the attributes switch faults on.

    open: calls wait while this is not set, as in a paused process.
    down: every call fails before it has any effect.
    delay_s: every call takes at least that long.
    pause_after_write: the next write takes effect and then this pauses.
    lose_answers: that many next writes lose their answers.
    late_writes: that many next writes lose their answers and take effect
    only with land().
    """

    def __init__(self, shared: keyvalue.KeyValue) -> None:
        """Start without faults."""
        self.open = asyncio.Event()
        self.open.set()
        self.down = False
        self.delay_s: float = 0
        self.pause_after_write = False
        self.lose_answers = 0
        self.late_writes = 0
        self._shared = shared
        self._late: list[tuple[str, str, ids.Revision]] = []

    async def get(self, key: str) -> keyvalue.Entry | None:
        """Return the entry."""
        await self._begin()
        entry = await self._shared.get(key)
        await self.open.wait()
        return entry

    async def put(
        self,
        key: str,
        value: str,
        *,
        expected: ids.Revision,
    ) -> ids.Revision:
        """Write now, or later after the answer is lost."""
        await self._begin()
        if self.late_writes:
            self.late_writes -= 1
            self._late.append((key, value, expected))
            raise errors.UnknownOutcome(f'{key}: the write is late')
        revision = await self._shared.put(key, value, expected=expected)
        if self.pause_after_write:
            self.pause_after_write = False
            self.open.clear()
        await self.open.wait()
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
        """Return the first entry newer than after, or None in time."""
        await self._begin()
        return await self._shared.watch(key, after=after, wait_s=wait_s)

    async def land(self) -> None:
        """Let every late write take effect, if it still can."""
        while self._late:
            key, text, expected = self._late.pop(0)
            with contextlib.suppress(errors.PlatformError):
                await self._shared.put(key, text, expected=expected)

    async def _begin(self) -> None:
        await self.open.wait()
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        if self.down:
            raise errors.Unavailable('the key-value service is down')
