"""Keep a local copy of the store by watching its changes."""

import abc
import asyncio
import functools
import math
import random
import traceback
from collections.abc import Callable

from oatcrank import errors, ids, logs
from oatcrank.cluster import (
    change_source,
    checked_watch,
    relay_follower,
    store,
    store_eras,
    store_metrics,
)
from oatcrank.orders import boot_clock

# A renewal of a lease confirms the copy for this long after its last proof:
# that the store answers does not show that a watch will be answered.
PROOF_S = 3.0
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
    def on_restored(self, item: store.Item, *, removed: bool) -> None:
        """Handle a value of a store that has returned from an older copy.

        removed: the key was known to be removed.
        """

    @abc.abstractmethod
    def on_lost(self, item: store.Item) -> None:
        """Handle a key that a store has lost, as it returned from a copy."""

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
        source: change_source.ChangeSource | None = None,
    ) -> None:
        """Pass every change to a listener.

        The source, if any, is asked for changes before the store.
        """
        self._source = source
        self._store = store_client
        self._listener = listener
        self._rng = rng
        self._revision: ids.Revision | None = None
        # Removed keys are known from this revision on.
        self._first_revision: ids.Revision | None = None
        self._confirmed_s = -math.inf
        self._proven_s = -math.inf
        self._changed = asyncio.Event()
        self.change_count = 0
        self._item_by_key: dict[str, store.Item] = {}
        self._is_unreachable = False
        self.is_loaded = False
        self.batch_delay_s = BATCH_DELAY_S
        self._watch = checked_watch.CheckedWatch(
            store_client, source, self._prove
        )
        self._backoff_s = FIRST_BACKOFF_S

    @property
    def is_current(self) -> bool:
        """Return whether the copy follows the store as far as is known."""
        return self.is_loaded and not self._is_unreachable

    @property
    def revision(self) -> ids.Revision:
        """Return the revision up to which all changes are known."""
        return self._revision or ids.Revision(0)

    @property
    def era(self) -> ids.StoreEra:
        """Return the era of the store that the copy follows."""
        return store_eras.revision_era(self._first_revision or 0)

    def age_s(self) -> float:
        """Return the time since the store has confirmed the copy."""
        return boot_clock.now() - self._confirmed_s

    def confirm(self) -> None:
        """Record that the store answers while the copy follows it."""
        is_proven = boot_clock.now() < self._proven_s + PROOF_S
        if self._watch.is_waiting and is_proven:
            self._confirm(0)

    def is_complete_after(self, revision: ids.Revision) -> bool:
        """Return whether all changes after a revision are known."""
        if self._revision is None or self._first_revision is None:
            return False
        if store_eras.revision_era(revision) != self.era:
            return False
        return revision >= self._first_revision

    def items_after(self, revision: int) -> tuple[store.Item, ...]:
        """Return the newest items of the keys changed after a revision."""
        return tuple(
            known
            for known in self._item_by_key.values()
            if known.revision > revision
        )

    async def wait_for_changes(
        self, after: ids.Revision, timeout_s: float
    ) -> None:
        """Return once changes after a revision are known, or after a time."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.revision <= after:
                    await self._changed.wait()
        except TimeoutError:
            return

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

    def follow_closely(self, *, closely: bool) -> None:
        """Follow the store itself with a short delay, or as usual."""
        self.batch_delay_s = HOLDER_BATCH_DELAY_S if closely else BATCH_DELAY_S
        if self._source is not None:
            self._source.bypass(bypassed=closely)

    def restart_watch(self) -> None:
        """Cancel a watch that has probably lost its connection."""
        self._watch.restart()

    def apply(self, item: store.Item) -> None:
        """Apply a key's value if it is newer than the known one."""
        known = self._item_by_key.get(item.key)
        if known is not None and known.revision >= item.revision:
            return
        self._set(item, self._listener.on_change)

    async def _step(self) -> None:
        if self._revision is None:
            snapshot = await self._store.read_all()
            self._reset_backoff()
            self._apply_snapshot(snapshot)
            return
        if self._source is not None:
            relayed = await self._source.changes(self._revision)
            if relayed is not None:
                self._apply_relayed(relayed)
                return
        changes = await self._watch.run(self._revision)
        if changes is None:
            return
        if isinstance(changes, store.Changes):
            self._apply_watched(changes)
        else:
            self._apply_found(changes)
        if changes.items:
            await asyncio.sleep(self.batch_delay_s)

    def _apply_watched(self, changes: store.Changes) -> None:
        self._reset_backoff()
        for item in changes.items:
            self.apply(item)
        self._move_to(changes.revision)
        self._prove(0)

    def _apply_found(self, found: change_source.RelayedChanges) -> None:
        """Apply what another instance knew while the watch was silent.

        It does not show that this instance reaches the store.
        """
        for item in found.items:
            self.apply(item)
        self._move_to(max(self.revision, found.revision))
        self._prove(found.age_s)

    def _apply_relayed(self, relayed: change_source.RelayedChanges) -> None:
        """Apply changes that a relay has passed on.

        If the copy was not confirmed for long, the store was away from all
        relays, and registrations may have expired meanwhile.
        """
        if self.age_s() > relay_follower.MAX_AGE_S:
            self._is_unreachable = True
        self._reset_backoff()
        store_metrics.RELAYED_CHANGES.inc()
        for item in relayed.items:
            self.apply(item)
        self._move_to(max(self.revision, relayed.revision))
        self._confirm(relayed.age_s)

    def _move_to(self, revision: ids.Revision) -> None:
        """Record up to which revision all changes are known."""
        moved = revision != self._revision
        self._revision = revision
        if moved:
            self._changed.set()
            self._changed = asyncio.Event()

    def _confirm(self, age_s: float) -> None:
        """Record that the store has confirmed the copy age_s ago."""
        confirmed_s = boot_clock.now() - age_s
        self._confirmed_s = max(self._confirmed_s, confirmed_s)
        store_metrics.COPY_AGE_SECONDS.set(self.age_s())

    def _prove(self, age_s: float) -> None:
        """Record that nothing that was written age_s ago is missing."""
        self._proven_s = max(self._proven_s, boot_clock.now() - age_s)
        self._confirm(age_s)

    def _apply_snapshot(self, snapshot: store.Snapshot) -> None:
        if self._begins_era(snapshot.revision):
            self._restore(snapshot)
        else:
            self._replace(snapshot)
        if self._first_revision is None:
            self._first_revision = snapshot.revision
        self._move_to(snapshot.revision)
        self._prove(0)
        self.is_loaded = True
        self._listener.on_snapshot()
        logs.event(
            'store_read',
            keys=len(snapshot.items),
            revision=snapshot.revision,
        )

    def _begins_era(self, revision: ids.Revision) -> bool:
        """Return whether the store has returned from an older copy."""
        return (
            self._first_revision is not None
            and store_eras.revision_era(revision) > self.era
        )

    def _replace(self, snapshot: store.Snapshot) -> None:
        """Apply all values, and the removal of the other keys."""
        for item in snapshot.items:
            self.apply(item)
        for key in self._missing_keys(snapshot):
            self.apply(_removal(key, snapshot.revision))

    def _restore(self, snapshot: store.Snapshot) -> None:
        """Apply what a store still has after it returned from an older copy.

        What it has lost was not removed by anyone, and what it has again may
        have been removed since the copy was made.
        """
        lost_keys = self._missing_keys(snapshot)
        logs.event('store_restored', lost=len(lost_keys))
        self._listener.on_reconnect()
        self._first_revision = snapshot.revision
        for item in snapshot.items:
            known = self._item_by_key.get(item.key)
            if known is not None and known.revision >= item.revision:
                continue
            removed = known is not None and known.value is None
            self._set(
                item,
                functools.partial(self._listener.on_restored, removed=removed),
            )
        for key in lost_keys:
            lost = _removal(key, snapshot.revision)
            self._set(lost, self._listener.on_lost)

    def _missing_keys(self, snapshot: store.Snapshot) -> tuple[str, ...]:
        """Return the known keys that were gone when a snapshot was read."""
        present = {item.key for item in snapshot.items}
        return tuple(
            key
            for key, known in self._item_by_key.items()
            if key not in present
            and known.value is not None
            and known.revision <= snapshot.revision
        )

    def _set(
        self, item: store.Item, notify: Callable[[store.Item], None]
    ) -> None:
        """Keep an item and pass it on; log a failure, so that others follow."""
        self._item_by_key[item.key] = item
        self.change_count += 1
        try:
            notify(item)
        except Exception:
            logs.event(
                'store_item_not_applied',
                key=item.key,
                error=traceback.format_exc(),
            )

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


def _removal(key: str, revision: ids.Revision) -> store.Item:
    return store.Item(key=key, value=None, revision=revision)
