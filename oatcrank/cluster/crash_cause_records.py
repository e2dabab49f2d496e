"""Record in the store what is refused because it crashes servers.

An instance that has just started was not told of the crashes before it.
"""

import asyncio
import time

from oatcrank import errors, logs
from oatcrank.cluster import crash_trials, members, store, store_mirror
from oatcrank.routing import crash_causes

# Followed by the part of a prompt or the fingerprint of a request.
KEY_PREFIX_BY_KIND = {
    crash_causes.Kind.prompt_part: 'crashing-prompt-parts/',
    crash_causes.Kind.request: 'crashing-requests/',
}
CHECK_INTERVAL_S = 0.1
WRITE_INTERVAL_S = 0.5
# Instances that write a record, in case that the first one has just ended.
WRITERS = 2
# What was refused is tried again after this long: servers may be mended.
LIFETIME_S = 3600.0
# Of each kind; further causes are refused without a record.
MAX_RECORDS = 256


class CrashCauseRecords:
    """Refuse what crashes servers, and keep the records up to date."""

    def __init__(
        self,
        store_client: store.Store,
        mirror: store_mirror.StoreMirror,
        members: members.Members,
        causes_by_kind: crash_causes.CausesByKind,
    ) -> None:
        """Write a record of each refused cause."""
        self._store = store_client
        self._mirror = mirror
        self._members = members
        self._causes_by_kind = causes_by_kind
        self._trials_by_kind = {
            kind: crash_trials.CrashTrials(
                store_client,
                mirror,
                members,
                causes,
                KEY_PREFIX_BY_KIND[kind],
            )
            for kind, causes in causes_by_kind.items()
        }

    async def run(self) -> None:
        """Evaluate crashes and write the records until cancelled."""
        next_write_s = float(0)
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.evaluate()
            now_s = asyncio.get_running_loop().time()
            if now_s >= next_write_s and self._mirror.is_current:
                next_write_s = now_s + WRITE_INTERVAL_S
                for kind in self._causes_by_kind:
                    await self._write_records(kind)
                    await self._trials_by_kind[kind].update(now_s)

    def evaluate(self) -> None:
        """Refuse what the known crashes have in common."""
        now_s = asyncio.get_running_loop().time()
        for kind, causes in self._causes_by_kind.items():
            for name in causes.update(now_s):
                _log_refused(kind, name, 'crashes')
            for recorded in causes.adopt_held_back(now_s):
                _log_refused(kind, recorded, 'record')

    async def _write_records(self, kind: crash_causes.Kind) -> None:
        prefix = KEY_PREFIX_BY_KIND[kind]
        causes = self._causes_by_kind[kind]
        refused_keys = {prefix + name for name in causes.refused()}
        kept_keys = {prefix + name for name in causes.recorded()}
        recorded_keys = set(self._mirror.keys(prefix))
        free_records = max(0, MAX_RECORDS - len(recorded_keys))
        for new_key in sorted(refused_keys - recorded_keys)[:free_records]:
            await self._write(new_key, _creation(new_key))
        for old_key in sorted(recorded_keys):
            item = self._mirror.get(old_key)
            if item is None:
                continue
            if old_key not in kept_keys or _is_expired(item):
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
            logs.event('crash_cause_record_failed', key=key, error=error)


def is_record(item: store.Item) -> bool:
    """Return whether an item of the store records a cause of crashes."""
    return item.key.startswith(tuple(KEY_PREFIX_BY_KIND.values()))


def apply_record(
    item: store.Item,
    causes_by_kind: crash_causes.CausesByKind,
    now_s: float,
) -> None:
    """Refuse a recorded cause, or lift one whose record is gone."""
    for kind, prefix in KEY_PREFIX_BY_KIND.items():
        if not item.key.startswith(prefix):
            continue
        name = item.key.removeprefix(prefix)
        if item.value is None:
            _log_cleared(kind, name)
            causes_by_kind[kind].lift(name, now_s)
        elif causes_by_kind[kind].adopt(name, now_s):
            _log_refused(kind, name, 'record')


def _log_refused(kind: crash_causes.Kind, name: str, source: str) -> None:
    if kind is crash_causes.Kind.prompt_part:
        logs.event('prompt_part_refused', part=name, source=source)
    else:
        logs.event('crashing_request_refused', fingerprint=name, source=source)


def _log_cleared(kind: crash_causes.Kind, name: str) -> None:
    if kind is crash_causes.Kind.prompt_part:
        logs.event('prompt_parts_cleared', parts=name, source='record')
    else:
        logs.event('request_cleared', fingerprints=name, source='record')


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
        logs.event('crash_cause_record_failed', key=item.key, error=error)
        return True
    return time.time() - written_s > LIFETIME_S
