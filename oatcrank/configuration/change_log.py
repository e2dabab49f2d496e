"""Hold the configuration as the result of all accepted changes."""

import asyncio
import collections
from collections.abc import Callable, Mapping
from types import MappingProxyType

import msgspec

from oatcrank import clock, decoding, errors, ids
from oatcrank.configuration import (
    append_log,
    applied_change,
    change,
    change_update,
    profile,
    profile_state,
    snapshot,
)
from oatcrank.store import keyvalue

PREFIX = 'changes'
KEPT_SEGMENTS = 2
MAX_UPDATE_CHANGES = 200

Listener = Callable[[change.Change], None]


class ChangeLog:
    """Apply the changes strictly in order; changes are never reverted.

    A profile's revision is the number of its last change, also after it was
    retired, so a revision always identifies the same state.
    """

    def __init__(
        self,
        store: keyvalue.KeyValue,
        *,
        segment_changes: int,
        clock: clock.Clock,
    ) -> None:
        """Start empty; keep the changes of the last segments in memory."""
        max_kept = KEPT_SEGMENTS * segment_changes
        self.segment_changes = segment_changes
        self.records = append_log.AppendLog(store, PREFIX)
        self._clock = clock
        self._newest = 0
        self._state_by_name: dict[ids.ProfileName, profile_state.ProfileState]
        self._state_by_name = {}
        self._profile_by_name: dict[ids.ProfileName, profile.Profile] = {}
        self._kept_changes: collections.deque[change.Change]
        self._kept_changes = collections.deque(maxlen=max_kept)
        self._history: collections.deque[applied_change.AppliedChange]
        self._history = collections.deque(maxlen=max_kept)
        self._listeners: list[Listener] = []
        self._advanced = asyncio.Event()

    @property
    def newest(self) -> int:
        """Return the number of the last change applied."""
        return self._newest

    @property
    def profile_by_name(self) -> Mapping[ids.ProfileName, profile.Profile]:
        """Return the profiles in force."""
        return MappingProxyType(self._profile_by_name)

    @property
    def history(self) -> tuple[applied_change.AppliedChange, ...]:
        """Return when the last changes were applied here."""
        return tuple(self._history)

    def state(self, name: ids.ProfileName) -> profile_state.ProfileState | None:
        """Return a profile's state, also if retired, or None if unknown."""
        return self._state_by_name.get(name)

    def revision(self, name: ids.ProfileName) -> ids.Revision:
        """Return the number of a profile's last change, or 0."""
        state = self.state(name)
        return ids.Revision(0) if state is None else state.revision

    def kept_after(self, after: int) -> tuple[change.Change, ...] | None:
        """Return the changes after a number, or None if some are not kept."""
        if after < self._newest - len(self._kept_changes):
            return None
        return tuple(
            record for record in self._kept_changes if record.number > after
        )

    def take_snapshot(self) -> snapshot.Snapshot:
        """Return a snapshot of the whole configuration."""
        names = sorted(self._state_by_name)
        return snapshot.Snapshot(
            number=self._newest,
            profiles=tuple(self._state_by_name[name] for name in names),
        )

    def updates_after(self, after: int) -> change_update.ChangeUpdate:
        """Return up to MAX_UPDATE_CHANGES changes after a number.

        If they are not all kept, return a snapshot instead.
        """
        changes = self.kept_after(after)
        if changes is None:
            return change_update.ChangeUpdate(
                newest=self._newest,
                base=self.take_snapshot(),
            )
        return change_update.ChangeUpdate(
            newest=self._newest,
            changes=changes[:MAX_UPDATE_CHANGES],
        )

    def add_listener(self, listener: Listener) -> None:
        """Call a listener with each change applied from now on."""
        self._listeners.append(listener)

    async def wait_past(self, number: int) -> None:
        """Return once a change after the number is applied."""
        while self._newest <= number:
            self._advanced.clear()
            await self._advanced.wait()

    def apply(self, record: change.Change) -> bool:
        """Apply a change and return True if it is the next one."""
        if record.number != self._newest + 1:
            return False
        self._store_state(
            profile_state.ProfileState(
                name=record.profile,
                revision=ids.Revision(record.number),
                who=record.who,
                when=record.when,
                content=record.after,
            ),
        )
        self._kept_changes.append(record)
        self._advance(record.number)
        for listener in self._listeners:
            listener(record)
        return True

    def restore(self, base: snapshot.Snapshot) -> bool:
        """Move forward to a snapshot and return True if it is newer."""
        if base.number <= self._newest:
            return False
        self._kept_changes.clear()
        for state in base.profiles:
            self._store_state(state)
        self._advance(base.number)
        return True

    def apply_update(self, update: change_update.ChangeUpdate) -> None:
        """Apply a peer's changes that are new and in order."""
        if update.base is not None:
            self.restore(update.base)
        for record in update.changes:
            self.apply(record)

    async def catch_up(self) -> None:
        """Apply all visible changes of the log; raises PlatformError."""
        is_applied = True
        while is_applied:
            is_applied = await self.read_next()

    async def read_next(self) -> bool:
        """Apply the next change if it is visible; return whether it was."""
        number = self._newest + 1
        text = await self.records.read(number)
        if text is not None:
            self.apply(decode_record(text))
        return text is not None

    async def wait_next(self, *, wait_s: float) -> bool:
        """Apply the next change once it exists; return False after wait_s."""
        text = await self.records.wait(self._newest + 1, wait_s=wait_s)
        if text is not None:
            self.apply(decode_record(text))
        return text is not None

    def _store_state(self, state: profile_state.ProfileState) -> None:
        self._state_by_name[state.name] = state
        if state.content is None:
            self._profile_by_name.pop(state.name, None)
        else:
            self._profile_by_name[state.name] = state.content

    def _advance(self, number: int) -> None:
        self._newest = number
        self._history.append(
            applied_change.AppliedChange(number, self._clock.now())
        )
        self._advanced.set()


def decode_record(text: str) -> change.Change:
    """Decode a record of the log; raises errors.Unavailable if invalid."""
    try:
        return decoding.from_json(text, expected=change.Change)
    except msgspec.MsgspecError as error:
        raise errors.Unavailable(f'invalid change record: {error}') from error


def encode_record(record: change.Change) -> str:
    """Encode a change as a record of the log."""
    return msgspec.json.encode(record).decode()
