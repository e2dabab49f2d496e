"""Build instances' configuration over one faulty key-value service."""

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
    """Delay the writes made while late is set until deliver_writes."""

    def __init__(self) -> None:
        super().__init__()
        self.late = False
        self.in_flight: list[tuple[str, str, ids.Revision]] = []

    async def put(
        self,
        key: str,
        value: str,
        *,
        expected: ids.Revision,
    ) -> ids.Revision:
        if self.late:
            self.in_flight.append((key, value, expected))
            raise errors.UnknownOutcome(f'{key}: the reply is delayed')
        return await super().put(key, value, expected=expected)

    async def deliver_writes(self) -> None:
        self.late = False
        for key, value, expected in self.in_flight:
            with contextlib.suppress(errors.Conflict):
                await self.put(key, value, expected=expected)
        self.in_flight.clear()


class CuttableLink(keyvalue.KeyValue):
    """Connection of one instance to the service that can be cut."""

    def __init__(self, store: keyvalue.KeyValue) -> None:
        self.store = store
        self.cut = False

    def connected_store(self) -> keyvalue.KeyValue:
        if self.cut:
            raise errors.Unavailable('cut off')
        return self.store

    async def get(self, key: str) -> keyvalue.Entry | None:
        return await self.connected_store().get(key)

    async def put(
        self,
        key: str,
        value: str,
        *,
        expected: ids.Revision,
    ) -> ids.Revision:
        return await self.connected_store().put(key, value, expected=expected)

    async def delete(self, key: str) -> None:
        await self.connected_store().delete(key)

    async def watch(
        self,
        key: str,
        *,
        after: ids.Revision,
        wait_s: float,
    ) -> keyvalue.Entry | None:
        store = self.connected_store()
        return await store.watch(key, after=after, wait_s=wait_s)


class ConfigurationInstance:
    """The log, snapshots and writer of one instance."""

    def __init__(
        self,
        store: keyvalue.KeyValue,
        *,
        segment_changes: int = 4,
        answer_timeout_s: float = 0,
    ) -> None:
        self.clock = clock.MonotonicClock()
        self.log = change_log.ChangeLog(
            store,
            segment_changes=segment_changes,
            clock=self.clock,
        )
        self.snapshots = snapshot_store.SnapshotStore(store, self.log)
        self.writer = change_writer.ChangeWriter(
            self.log,
            self.snapshots,
            clock=self.clock,
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
    change_kind = change.ChangeKind
    if kind is None:
        kind = change_kind.change if based_on else change_kind.create
    retires = kind is change_kind.retire
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
    raise AssertionError('the condition was not met')
