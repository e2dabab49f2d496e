"""Check that the reported outcome of every change is true."""

import asyncio

import pytest

from oatcrank import errors, ids
from oatcrank.configuration import change, change_errors
from tests import configuration_parts as parts

RETIRE = change.ChangeKind.retire


async def outcome(
    instance: parts.ConfigurationInstance,
    proposal: change.Proposal,
) -> int | type[Exception]:
    try:
        return (await instance.writer.accept(proposal)).number
    except change_errors.ConfigurationError as error:
        return type(error)


@pytest.mark.parametrize(
    ('fault', 'expected', 'resent'),
    [
        ('none', 1, 1),
        ('lose_answers', 1, 1),
        ('lose_requests', change_errors.ChangeOutcomeUnknown, 1),
        ('late', change_errors.ChangeOutcomeUnknown, 1),
        ('down', change_errors.ChangeNotApplied, 1),
    ],
)
def test_fault_then_resend_elsewhere(
    fault: str,
    expected: object,
    resent: int,
) -> None:
    async def run() -> None:
        store = parts.LateKeyValue()
        instance, other_instance = (
            parts.ConfigurationInstance(store),
            parts.ConfigurationInstance(store),
        )
        setattr(store, fault, 1)
        assert await outcome(instance, parts.proposal('a')) == expected
        store.down = False
        await store.deliver_writes()
        for _ in range(2):
            assert await outcome(other_instance, parts.proposal('a')) == resent
            assert await outcome(instance, parts.proposal('a')) == resent
        assert store.keys('changes/') == ['changes/1']

    asyncio.run(run())


def test_operators_race() -> None:
    async def run() -> None:
        store = parts.LateKeyValue()
        instances = [parts.ConfigurationInstance(store) for _ in range(5)]
        outcomes = await asyncio.gather(
            *(
                outcome(
                    instance, parts.proposal(f'id{index}', first_token_ms=index)
                )
                for index, instance in enumerate(instances)
            ),
        )
        assert sorted(map(str, outcomes))[0] == '1'
        assert outcomes.count(change_errors.ChangeConflict) == 4
        outcomes = await asyncio.gather(
            *(
                outcome(instance, parts.proposal(f'x{index}', name=f'q{index}'))
                for index, instance in enumerate(instances)
            ),
        )
        assert sorted(map(int, outcomes)) == [2, 3, 4, 5, 6]

    asyncio.run(run())


def test_delayed_write_during_outage_is_not_refused() -> None:
    async def run() -> None:
        store = parts.LateKeyValue()
        instance = parts.ConfigurationInstance(store, answer_timeout_s=60)
        store.late = True
        accepting = asyncio.create_task(
            instance.writer.accept(parts.proposal('a'))
        )
        await parts.until(lambda: bool(store.in_flight))
        store.down = True
        calls = store.calls_by_kind['put']
        store.late = False
        await parts.until(lambda: store.calls_by_kind['put'] >= calls + 3)
        assert not accepting.done()
        store.down = False
        await store.deliver_writes()
        assert (await accepting).number == 1

    asyncio.run(run())


def test_stale_reads_only_delay() -> None:
    async def run() -> None:
        store = parts.LateKeyValue()
        instance, other_instance = (
            parts.ConfigurationInstance(store),
            parts.ConfigurationInstance(store),
        )
        assert await outcome(instance, parts.proposal('a')) == 1
        store.stale_reads = True
        result = await outcome(other_instance, parts.proposal('b'))
        assert result is change_errors.ChangeOutcomeUnknown
        store.stale_reads = False
        result = await outcome(other_instance, parts.proposal('b'))
        assert result is change_errors.ChangeConflict

    asyncio.run(run())


@pytest.mark.parametrize(
    ('steps', 'expected'),
    [
        ([parts.proposal('a'), parts.proposal('b', based_on=1)], 2),
        (
            [
                parts.proposal('a'),
                parts.proposal('b', based_on=1, kind=RETIRE),
                parts.proposal('a'),
            ],
            1,
        ),
        (
            [
                parts.proposal('a'),
                parts.proposal('b', based_on=1, kind=RETIRE),
                parts.proposal('c'),
            ],
            change_errors.ChangeConflict,
        ),
        (
            [parts.proposal('a'), parts.proposal('a', first_token_ms=2)],
            change_errors.InvalidChange,
        ),
        (
            [parts.proposal('a'), parts.proposal('b', based_on=9)],
            change_errors.ChangeNotApplied,
        ),
        (
            [parts.proposal('a', kind=RETIRE)],
            change_errors.InvalidChange,
        ),
    ],
)
def test_sequence(steps: list[change.Proposal], expected: object) -> None:
    async def run() -> object:
        instance = parts.ConfigurationInstance(parts.LateKeyValue())
        return [await outcome(instance, proposal) for proposal in steps][-1]

    assert asyncio.run(run()) == expected


async def fill(instance: parts.ConfigurationInstance, count: int) -> None:
    for index in range(count):
        await instance.writer.accept(
            parts.proposal(f'c{index}', name=f'n{index}')
        )


def test_start_reads_few_keys_and_audit_is_complete() -> None:
    async def run() -> None:
        store = parts.LateKeyValue()
        await fill(parts.ConfigurationInstance(store, segment_changes=10), 203)
        other = parts.ConfigurationInstance(store, segment_changes=10)
        before = store.calls_by_kind['get']
        await other.snapshots.load()
        assert store.calls_by_kind['get'] - before == 6
        assert other.log.newest == 203
        assert len(other.log.profile_by_name) == 203
        audit = await other.snapshots.changes_after(0)
        assert [record.number for record in audit] == list(range(1, 204))
        page = await other.snapshots.changes_after(7, at_most=5)
        assert [record.number for record in page] == [8, 9, 10, 11, 12]
        # A resend of a change from before the snapshot is recognised.
        proposal = parts.proposal('c3', name='n3')
        assert await outcome(other, proposal) == 4

    asyncio.run(run())


@pytest.mark.parametrize('fault', ['lose_requests', 'lose_answers'])
def test_snapshot_faults_do_not_hide_changes(fault: str) -> None:
    async def run() -> None:
        store = parts.LateKeyValue()
        instance = parts.ConfigurationInstance(store)
        await fill(instance, 6)
        setattr(store, fault, 1)
        with pytest.raises(errors.UnknownOutcome):
            await instance.snapshots.save()
        other = parts.ConfigurationInstance(store)
        await other.snapshots.load()
        assert other.log.newest == 6

    asyncio.run(run())


def test_instance_catches_up_before_refusing() -> None:
    async def run() -> None:
        store = parts.LateKeyValue()
        instance, other_instance = (
            parts.ConfigurationInstance(store),
            parts.ConfigurationInstance(store),
        )
        assert await outcome(instance, parts.proposal('a')) == 1
        proposal = parts.proposal('b', based_on=1)
        assert await outcome(other_instance, proposal) == 2

    asyncio.run(run())


def test_stale_pointer_does_not_block_a_snapshot() -> None:
    async def run() -> None:
        store = parts.LateKeyValue()
        instance = parts.ConfigurationInstance(store)
        await fill(instance, 5)
        store.stale_reads = True
        await instance.snapshots.save()

    asyncio.run(run())


def test_updates_bring_a_peer_forward() -> None:
    async def run() -> None:
        instance = parts.ConfigurationInstance(parts.LateKeyValue())
        await fill(instance, 20)
        for start in (0, 13, 20):
            other = parts.ConfigurationInstance(parts.LateKeyValue())
            other.log.apply_update(instance.log.updates_after(0))
            other.log.apply_update(instance.log.updates_after(start))
            assert other.log.take_snapshot() == instance.log.take_snapshot()

    asyncio.run(run())


def test_concurrent_resends_make_one_change() -> None:
    async def run() -> None:
        store = parts.LateKeyValue()
        instances = [parts.ConfigurationInstance(store) for _ in range(4)]
        proposal = parts.proposal('same')
        outcomes = await asyncio.gather(
            *(outcome(instance, proposal) for instance in instances),
        )
        assert outcomes == [1, 1, 1, 1]
        assert instances[0].log.revision(ids.ProfileName('p')) == 1

    asyncio.run(run())
