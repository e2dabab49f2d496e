"""Check that the copy of the store holds all that the store has."""

import asyncio

from oatcrank import errors, ids, logs
from oatcrank.cluster import store, store_mirror

# Callers of a stream wait two seconds or more for its next event.
READ_TIMEOUT_S = 0.5
COPY_TIMEOUT_S = 1.0


class CatchUp:
    """Wait for the copy; calls that come together share one read."""

    def __init__(
        self, store_client: store.Store, mirror: store_mirror.StoreMirror
    ) -> None:
        """Compare a copy with its store."""
        self._store = store_client
        self._mirror = mirror
        self._reading: asyncio.Task[bool] | None = None
        self._next: asyncio.Task[bool] | None = None

    async def run(self) -> bool:
        """Return whether the copy holds all that the store had at this call.

        A copy that is thought to be current may be seconds old, if this
        instance was suspended or has not noticed yet that it was cut off.
        """
        if self._next is None:
            self._next = asyncio.ensure_future(self._read_after(self._reading))
        return await asyncio.shield(self._next)

    async def _read_after(self, earlier: asyncio.Task[bool] | None) -> bool:
        """Read the revision once an earlier read has ended.

        That one may have begun before the call.
        """
        if earlier is not None:
            await asyncio.wait((earlier,))
        self._reading = self._next
        self._next = None
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                revision = await self._store.read_revision()
        except (TimeoutError, errors.PlatformError) as error:
            logs.event('store_catch_up_failed', error=repr(error))
            return False
        before = ids.Revision(revision - 1)
        await self._mirror.wait_for_changes(before, COPY_TIMEOUT_S)
        if self._mirror.revision < revision:
            logs.event('store_catch_up_failed', error='the copy lags behind')
            return False
        return True
