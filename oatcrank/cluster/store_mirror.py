"""Keep a local copy of the store by watching its changes."""

import abc
import asyncio
import random

from oatcrank import errors, ids, logs
from oatcrank.cluster import store

WATCH_WAIT_S = 10.0
# Batches changes that arrive together into one call. The holder of the order
# lease acts on them and uses the shorter delay.
BATCH_DELAY_S = 0.5
HOLDER_BATCH_DELAY_S = 0.05
FIRST_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.6


class Listener(abc.ABC):
    """Interface for receiving changes of the store."""

    @abc.abstractmethod
    def on_change(self, item: store.Item) -> None:
        """Handle a key's newer value."""

    @abc.abstractmethod
    def on_reconnect(self) -> None:
        """Handle the first answer of the store after an outage."""

    @abc.abstractmethod
    def on_snapshot(self) -> None:
        """Handle the end of a read of all keys."""


class StoreMirror:
    """Read all keys, then follow their changes until cancelled."""

    def __init__(
        self,
        store_client: store.Store,
        listener: Listener,
        rng: random.Random,
    ) -> None:
        """Pass every change to a listener."""
        self._store = store_client
        self._listener = listener
        self._rng = rng
        self._revision: ids.Revision | None = None
        self._item_by_key: dict[str, store.Item] = {}
        self._is_unreachable = False
        self.is_loaded = False
        self.batch_delay_s = BATCH_DELAY_S
        self._watching: asyncio.Task[store.Changes] | None = None
        self._backoff_s = FIRST_BACKOFF_S

    @property
    def is_current(self) -> bool:
        """Return whether the copy follows the store as far as is known."""
        return self.is_loaded and not self._is_unreachable

    def get(self, key: str) -> store.Item | None:
        """Return a key's newest known value, or None."""
        known = self._item_by_key.get(key)
        if known is None or known.value is None:
            return None
        return known

    def keys(self, prefix: str) -> list[str]:
        """Return the known keys with a prefix."""
        return [
            key
            for key, known in self._item_by_key.items()
            if key.startswith(prefix) and known.value is not None
        ]

    async def run(self) -> None:
        """Follow the store until cancelled."""
        while True:
            try:
                await self._step()
            except store.HistoryLost as error:
                logs.event('store_history_lost', error=error)
                self._revision = None
            except errors.PlatformError as error:
                await self._back_off(error)

    def restart_watch(self) -> None:
        """Cancel a watch that has probably lost its connection."""
        if self._watching is not None:
            self._watching.cancel()

    def apply(self, item: store.Item) -> None:
        """Apply a key's value if it is newer than the known one."""
        known = self._item_by_key.get(item.key)
        if known is not None and known.revision >= item.revision:
            return
        self._item_by_key[item.key] = item
        self._listener.on_change(item)

    async def _step(self) -> None:
        if self._revision is None:
            snapshot = await self._store.read_all()
            self._reset_backoff()
            self._apply_snapshot(snapshot)
            return
        changes = await self._watch(self._revision)
        self._reset_backoff()
        for item in changes.items:
            self.apply(item)
        self._revision = changes.revision
        if changes.items:
            await asyncio.sleep(self.batch_delay_s)

    async def _watch(self, after: ids.Revision) -> store.Changes:
        self._watching = asyncio.ensure_future(
            self._store.watch(after, WATCH_WAIT_S),
        )
        try:
            return await self._watching
        except asyncio.CancelledError:
            if not self._watching.cancelled() or self._is_cancelling():
                raise
            raise errors.Unavailable('store watch was cancelled') from None
        finally:
            self._watching.cancel()
            self._watching = None

    def _apply_snapshot(self, snapshot: store.Snapshot) -> None:
        present = set()
        for item in snapshot.items:
            present.add(item.key)
            self.apply(item)
        for key, known in tuple(self._item_by_key.items()):
            if key in present or known.value is None:
                continue
            if known.revision <= snapshot.revision:
                self.apply(
                    store.Item(
                        key=key,
                        value=None,
                        revision=ids.Revision(snapshot.revision),
                    ),
                )
        self._revision = snapshot.revision
        self.is_loaded = True
        self._listener.on_snapshot()
        logs.event(
            'store_read',
            keys=len(present),
            revision=snapshot.revision,
        )

    def _is_cancelling(self) -> bool:
        """Return whether the mirror itself is being cancelled."""
        task = asyncio.current_task()
        return task is not None and task.cancelling() > 0

    def _reset_backoff(self) -> None:
        self._backoff_s = FIRST_BACKOFF_S
        if self._is_unreachable:
            self._is_unreachable = False
            logs.event('dependency_recovered', dependency='store')
            self._listener.on_reconnect()

    async def _back_off(self, error: errors.PlatformError) -> None:
        if not self._is_unreachable:
            self._is_unreachable = True
            logs.event('dependency_lost', dependency='store', error=error)
        await asyncio.sleep(self._backoff_s * (1 + self._rng.random()))
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)
