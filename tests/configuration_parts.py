"""Build the configuration's parts over one faulty key-value service."""

import asyncio
import contextlib
from collections.abc import Callable

from emulator import memory_key_value
from oatcrank import clock, errors, ids
from oatcrank.configuration import (
    change,
    change_log,
    change_writer,
    profile,
    snapshot_store,
    target,
)
from oatcrank.store import keyvalue


class LateKeyValue(memory_key_value.MemoryKeyValue):
    """Hold back the writes begun while late is set, until they land."""

    def __init__(self) -> None:
        super().__init__()
        self.late = False
        self.under_way: list[tuple[str, str, ids.Revision]] = []

    async def put(
        self,
        key: str,
        value: str,
        *,
        expected: ids.Revision,
    ) -> ids.Revision:
        if self.late:
            self.under_way.append((key, value, expected))
            raise errors.UnknownOutcome(f'{key}: the answer is late')
        return await super().put(key, value, expected=expected)

    async def land(self) -> None:
        self.late = False
        for key, value, expected in self.under_way:
            with contextlib.suppress(errors.Conflict):
                await self.put(key, value, expected=expected)
        self.under_way.clear()


class Link(keyvalue.KeyValue):
    """Be one instance's way to the service, which can be cut."""

    def __init__(self, store: keyvalue.KeyValue) -> None:
        self.store = store
        self.cut = False

    def reach(self) -> keyvalue.KeyValue:
        if self.cut:
            raise errors.Unavailable('cut off')
        return self.store

    async def get(self, key: str) -> keyvalue.Entry | None:
        return await self.reach().get(key)

    async def put(
        self,
        key: str,
        value: str,
        *,
        expected: ids.Revision,
    ) -> ids.Revision:
        return await self.reach().put(key, value, expected=expected)

    async def delete(self, key: str) -> None:
        await self.reach().delete(key)

    async def watch(
        self,
        key: str,
        *,
        after: ids.Revision,
        wait_s: float,
    ) -> keyvalue.Entry | None:
        store = self.reach()
        return await store.watch(key, after=after, wait_s=wait_s)


class Parts:
    """Hold one instance's log, snapshots and writer."""

    def __init__(
        self,
        store: keyvalue.KeyValue,
        *,
        segment_changes: int = 4,
        answer_timeout_s: float = 0,
    ) -> None:
        self.time = clock.MonotonicClock()
        self.log = change_log.ChangeLog(
            store,
            segment_changes=segment_changes,
            clock=self.time,
        )
        self.snapshots = snapshot_store.SnapshotStore(store, self.log)
        self.writer = change_writer.ChangeWriter(
            self.log,
            self.snapshots,
            clock=self.time,
            answer_timeout_s=answer_timeout_s,
            retry_s=0,
        )


def content(name: str, first_token_ms: float = 1) -> profile.Profile:
    return profile.Profile(
        name=ids.ProfileName(name),
        targets=target.Targets(
            first_token_ms=first_token_ms,
            between_tokens_ms=1,
            whole_answer_ms=1,
        ),
    )


def proposal(
    change_id: str,
    *,
    name: str = 'p',
    based_on: int = 0,
    kind: change.ChangeKind | None = None,
    first_token_ms: float = 1,
) -> change.Proposal:
    kinds = change.ChangeKind
    if kind is None:
        kind = kinds.change if based_on else kinds.create
    retires = kind is kinds.retire
    return change.Proposal(
        change_id=ids.ChangeId(change_id),
        who='op',
        kind=kind,
        profile=ids.ProfileName(name),
        after=None if retires else content(name, first_token_ms),
        based_on=ids.Revision(based_on),
    )


async def until(condition: Callable[[], bool]) -> None:
    for _ in range(100_000):
        if condition():
            return
        await asyncio.sleep(0)
    raise AssertionError('the awaited condition never came')
