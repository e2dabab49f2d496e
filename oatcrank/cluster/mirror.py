"""Follow the store: keep every key's newest value as seen."""

import abc
import asyncio
import random

from oatcrank import errors, ids, logs
from oatcrank.cluster import store

WAIT_S = 10.0
# Changes that come together cost one call; who gives orders waits for them.
GATHER_S = 0.5
HOLDER_GATHER_S = 0.05
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.6


class Listener(abc.ABC):
    """Hear of changes."""

    @abc.abstractmethod
    def changed(self, item: store.Item) -> None:
        """Take a key's newer value."""

    @abc.abstractmethod
    def regained(self) -> None:
        """Note that the store answers again after it did not."""

    @abc.abstractmethod
    def read(self) -> None:
        """Note that all keys have been read."""


class Mirror:
    """Read all keys, then follow their changes until cancelled."""

    def __init__(
        self,
        kept_in: store.Store,
        listener: Listener,
        dice: random.Random,
    ) -> None:
        """Tell a listener of every change."""
        self._store = kept_in
        self._listener = listener
        self._dice = dice
        self._revision: ids.Revision | None = None
        self._item_by_key: dict[str, store.Item] = {}
        self._lost = False
        self.is_read = False
        self.gather_s = GATHER_S
        self._watching: asyncio.Task[store.Changes] | None = None
        self._pause_s = FIRST_PAUSE_S

    def get(self, key: str) -> store.Item | None:
        """Return a key's newest value as seen, or None."""
        found = self._item_by_key.get(key)
        if found is None or found.value is None:
            return None
        return found

    async def run(self) -> None:
        """Follow the store for ever."""
        while True:
            try:
                await self._step()
            except store.HistoryLost as error:
                logs.event('store_history_lost', error=error)
                self._revision = None
            except errors.PlatformError as error:
                await self._failed(error)

    def doubt(self) -> None:
        """Give up a watch that has probably lost its connection."""
        if self._watching is not None:
            self._watching.cancel()

    def take(self, item: store.Item) -> None:
        """Take a key's value if it is newer than the one known."""
        known = self._item_by_key.get(item.key)
        if known is not None and known.revision >= item.revision:
            return
        self._item_by_key[item.key] = item
        self._listener.changed(item)

    async def _step(self) -> None:
        if self._revision is None:
            snapshot = await self._store.read_all()
            self._note_answer()
            self._take_all(snapshot)
            return
        changes = await self._watch(self._revision)
        self._note_answer()
        for item in changes.items:
            self.take(item)
        self._revision = changes.revision
        if changes.items:
            await asyncio.sleep(self.gather_s)

    async def _watch(self, after: ids.Revision) -> store.Changes:
        self._watching = asyncio.ensure_future(
            self._store.watch(after, WAIT_S),
        )
        try:
            return await self._watching
        except asyncio.CancelledError:
            if not self._watching.cancelled() or self._stopped():
                raise
            raise errors.Unavailable('the watch was given up') from None
        finally:
            self._watching.cancel()
            self._watching = None

    def _take_all(self, snapshot: store.Snapshot) -> None:
        present = set()
        for item in snapshot.items:
            present.add(item.key)
            self.take(item)
        for key, known in tuple(self._item_by_key.items()):
            if key in present or known.value is None:
                continue
            if known.revision <= snapshot.revision:
                self.take(
                    store.Item(
                        key=key,
                        value=None,
                        revision=ids.Revision(snapshot.revision),
                    ),
                )
        self._revision = snapshot.revision
        self.is_read = True
        self._listener.read()
        logs.event(
            'store_read',
            keys=len(present),
            revision=snapshot.revision,
        )

    def _stopped(self) -> bool:
        """Tell whether the mirror itself is being cancelled."""
        task = asyncio.current_task()
        return task is not None and task.cancelling() > 0

    def _note_answer(self) -> None:
        self._pause_s = FIRST_PAUSE_S
        if self._lost:
            self._lost = False
            logs.event('dependency_regained', dependency='store')
            self._listener.regained()

    async def _failed(self, error: errors.PlatformError) -> None:
        if not self._lost:
            self._lost = True
            logs.event('dependency_lost', dependency='store', error=error)
        await asyncio.sleep(self._pause_s * (1 + self._dice.random()))
        self._pause_s = min(LONGEST_PAUSE_S, self._pause_s * 2)
