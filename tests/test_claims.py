"""Check that no fault runs an at-most-once request twice."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from emulator import claims_fleet, claims_instance
from oatcrank import clock, ids, refusal
from oatcrank.claims import (
    acquired_claim,
    claim_acquirer,
    claim_attempts,
    claim_forwarder,
    claim_log,
    claim_shard,
)
from oatcrank.settings import claims_settings

KEY = 'booking-1'
LONG_S = 60.0
SHORT_S = 0.2
SETTINGS = claims_settings.ClaimsSettings(batch_spacing_ms=1)
ONE_SHARD = claims_settings.ClaimsSettings(shards=1, batch_spacing_ms=1)
ANSWER = claims_instance.answer_to(KEY)
Fleet = claims_fleet.ClaimsFleet
Scenario = Callable[[Fleet], Awaitable[None]]


@pytest.fixture(autouse=True)
def long_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(claim_forwarder, 'FORWARD_TIMEOUT_S', LONG_S)
    monkeypatch.setattr(claim_attempts, 'QUERY_TIMEOUT_MARGIN_S', LONG_S)
    monkeypatch.setattr(claim_acquirer, 'ACQUIRE_TIMEOUT_S', 2 * LONG_S)


def run_scenario(
    scenario: Scenario,
    time: clock.Clock | None = None,
    settings: claims_settings.ClaimsSettings = SETTINGS,
) -> None:
    async def run() -> None:
        async with Fleet(size=3, settings=settings, clock_source=time) as fleet:
            await scenario(fleet)
            assert max(fleet.ledger.values(), default=0) <= 1

    asyncio.run(run())


async def refusal_of(call: Awaitable[object]) -> refusal.Refusal:
    try:
        await call
    except refusal.Refused as refused:
        return refused.refusal
    pytest.fail('not refused')


async def acquire_at(
    instance: claims_instance.ClaimsInstance,
) -> acquired_claim.AcquiredClaim:
    acquired = await instance.acquire(KEY)
    assert isinstance(acquired, acquired_claim.AcquiredClaim)
    return acquired


def test_resends_at_the_same_moment_get_one_answer() -> None:
    async def scenario(fleet: Fleet) -> None:
        keys = [f'key-{number}' for number in range(8)]
        answers = await asyncio.gather(
            *(
                instance.run(key)
                for key in keys
                for instance in fleet.instances * 2
            ),
        )
        assert answers == [
            claims_instance.answer_to(key) for key in keys for _ in range(6)
        ]
        assert fleet.ledger == dict.fromkeys(keys, 1)

    run_scenario(scenario)


@pytest.mark.parametrize('rank', [0, 1, 2])
@pytest.mark.parametrize(
    ('part', 'fault', 'times'),
    [
        ('store', 'lose_answers', 1),
        ('store', 'lose_answers', 5),
        ('store', 'late_writes', 1),
        ('store', 'late_writes', 9),
        ('client', 'lose_requests', 1),
        ('client', 'lose_requests', 4),
        ('client', 'lose_answers', 1),
        ('client', 'lose_answers', 4),
        ('client', 'repeat', 4),
    ],
)
def test_lost_and_late_calls(
    rank: int,
    part: str,
    fault: str,
    times: int,
) -> None:
    async def scenario(fleet: Fleet) -> None:
        setattr(getattr(fleet.ranked_owners(KEY)[rank], part), fault, times)
        outcomes = await asyncio.gather(
            *(instance.run(KEY) for instance in fleet.instances),
            return_exceptions=True,
        )
        assert all(
            outcome == ANSWER or isinstance(outcome, refusal.Refused)
            for outcome in outcomes
        )
        for instance in fleet.instances:
            await instance.store.deliver_writes()
            setattr(getattr(instance, part), fault, 0)
        for instance in fleet.instances:
            assert await instance.run(KEY) == ANSWER
        assert fleet.ledger == {KEY: 1}

    run_scenario(scenario)


def test_late_write_does_not_run_what_was_refused() -> None:
    async def scenario(fleet: Fleet) -> None:
        owner = fleet.owner(KEY)
        claimant = fleet.ranked_owners(KEY)[1]
        owner.store.late_writes = 100
        refused = await refusal_of(claimant.run(KEY))
        assert refused.run_state is refusal.RunState.did_not_run
        assert not fleet.ledger
        owner.store.late_writes = 0
        await owner.store.deliver_writes()
        assert await fleet.ranked_owners(KEY)[2].run(KEY) == ANSWER
        assert fleet.ledger == {KEY: 1}

    run_scenario(scenario)


def test_service_down_refuses_at_once() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.store.down = True
        for instance in fleet.instances:
            refused = await refusal_of(instance.run(KEY))
            assert refused.code is refusal.Code.platform_unavailable
            assert refused.run_state is refusal.RunState.did_not_run
            assert refused.retry_after_s
        fleet.store.down = False
        assert await fleet.instances[0].run(KEY) == ANSWER

    run_scenario(scenario)


@pytest.mark.parametrize('frozen', [False, True])
def test_owner_silent(monkeypatch: pytest.MonkeyPatch, *, frozen: bool) -> None:
    if frozen:
        monkeypatch.setattr(claim_forwarder, 'FORWARD_TIMEOUT_S', SHORT_S)

    async def scenario(fleet: Fleet) -> None:
        owner, *others = fleet.ranked_owners(KEY)
        if frozen:
            owner.pause()
        else:
            await owner.stop()
        for other in others:
            assert await other.run(KEY) == ANSWER
        owner.resume()

    run_scenario(scenario)


def test_owner_frozen_between_commit_and_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(claim_forwarder, 'FORWARD_TIMEOUT_S', SHORT_S)

    async def scenario(fleet: Fleet) -> None:
        owner, claimant, other = fleet.ranked_owners(KEY)
        await claimant.run('warm up')
        await claimant.claims.drain()
        owner.store.pause_after_write = True
        assert await claimant.run(KEY) == ANSWER
        assert not owner.store.resumed.is_set()
        assert await other.run(KEY) == ANSWER
        owner.resume()
        assert await owner.run(KEY) == ANSWER

    run_scenario(scenario, settings=ONE_SHARD)


@pytest.mark.parametrize(
    ('step', 'run_state'),
    [
        ('begun', refusal.RunState.may_have_run),
        ('dispatched', refusal.RunState.may_have_run),
        ('interrupted', refusal.RunState.may_have_run),
        ('released', None),
        ('ended', None),
    ],
)
def test_claimant_gone(step: str, run_state: refusal.RunState | None) -> None:
    async def scenario(fleet: Fleet) -> None:
        _, claimant, other = fleet.ranked_owners(KEY)
        acquired = await acquire_at(claimant)
        attempt = acquired.attempt
        if step == 'released':
            await claimant.claims.release(attempt)
            assert not claimant.dispatch(KEY, acquired)
        elif step != 'begun':
            assert claimant.dispatch(KEY, acquired)
        if step == 'interrupted':
            await claimant.claims.interrupt(attempt)
        if step == 'ended':
            await claimant.claims.end(attempt, ANSWER)
        await claimant.claims.drain()
        await claimant.stop()
        if run_state is None:
            assert await other.run(KEY) == ANSWER
        else:
            refused = await refusal_of(other.run(KEY))
            assert refused.run_state is run_state
            assert refused.code is refusal.Code.outcome_unknown

    run_scenario(scenario)


def test_claimant_frozen_before_dispatch(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(claim_attempts, 'QUERY_TIMEOUT_MARGIN_S', SHORT_S)

    async def scenario(fleet: Fleet) -> None:
        _, claimant, other = fleet.ranked_owners(KEY)
        acquired = await acquire_at(claimant)
        claimant.pause()
        refused = await refusal_of(other.run(KEY))
        assert refused.code is refusal.Code.outcome_unknown
        claimant.resume()
        assert claimant.dispatch(KEY, acquired)
        assert not claimant.dispatch(KEY, acquired)

    run_scenario(scenario)


def test_release_not_recorded_is_learnt_from_the_claimant() -> None:
    async def scenario(fleet: Fleet) -> None:
        _, claimant, other = fleet.ranked_owners(KEY)
        acquired = await acquire_at(claimant)
        claimant.client.lose_requests = 100
        claimant.store.down = True
        await claimant.claims.release(acquired.attempt)
        assert await other.run(KEY) == ANSWER
        assert not claimant.dispatch(KEY, acquired)

    run_scenario(scenario)


def test_end_not_recorded_is_learnt_from_the_claimant() -> None:
    async def scenario(fleet: Fleet) -> None:
        _, claimant, other = fleet.ranked_owners(KEY)
        acquired = await acquire_at(claimant)
        assert claimant.dispatch(KEY, acquired)
        fleet.store.down = True
        await claimant.claims.end(acquired.attempt, ANSWER)
        assert await claimant.run(KEY) == ANSWER
        fleet.store.down = False
        assert await other.run(KEY) == ANSWER

    run_scenario(scenario)


def test_every_instance_acts_as_owner() -> None:
    async def scenario(fleet: Fleet) -> None:
        for member in fleet.instances:
            member.peers.alive_members = (member.this,)
        keys = [f'key-{number}' for number in range(20)]
        await asyncio.gather(
            *(
                instance.run(key)
                for key in keys
                for instance in fleet.instances
            ),
        )
        assert fleet.ledger == dict.fromkeys(keys, 1)

    run_scenario(scenario)


@pytest.mark.parametrize('late', [1, 2, 3, 9])
def test_late_write_between_two_owners(late: int) -> None:
    async def scenario(fleet: Fleet) -> None:
        for instance in fleet.instances:
            instance.peers.alive_members = (instance.this,)
            await instance.run('warm up')
            await instance.claims.drain()
        first, *others = fleet.instances
        first.store.late_writes = late
        outcomes = await asyncio.gather(
            first.run(KEY),
            *(other.run(KEY) for other in others),
            return_exceptions=True,
        )
        first.store.late_writes = 0
        assert outcomes[1:] == [ANSWER, ANSWER]
        await first.store.deliver_writes()
        assert await first.run(KEY) == ANSWER
        assert fleet.ledger[KEY] == 1

    run_scenario(scenario, settings=ONE_SHARD)


@pytest.mark.parametrize('alone', [False, True])
def test_outdated_reads(*, alone: bool) -> None:
    async def scenario(fleet: Fleet) -> None:
        await asyncio.gather(
            *(instance.run('warm up') for instance in fleet.instances)
        )
        for member in fleet.instances:
            if alone:
                member.peers.alive_members = (member.this,)
        fleet.store.stale_reads = True
        outcomes = await asyncio.gather(
            *(instance.run(KEY) for instance in fleet.instances),
            return_exceptions=True,
        )
        assert all(
            outcome == ANSWER or isinstance(outcome, refusal.Refused)
            for outcome in outcomes
        )
        fleet.store.stale_reads = False
        for instance in fleet.instances:
            assert await instance.run(KEY) == ANSWER

    run_scenario(scenario, settings=ONE_SHARD)


def test_resends_share_a_refusal_under_their_own_ids() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.store.down = True
        calls = [
            fleet.instances[0].claims.acquire(
                key=KEY,
                profile=claims_instance.PROFILE,
                fingerprint=0,
                request_id=ids.RequestId(name),
            )
            for name in ('one', 'two')
        ]
        refusals = await asyncio.gather(*(refusal_of(call) for call in calls))
        assert [refused.request_id for refused in refusals] == ['one', 'two']

    run_scenario(scenario)


def test_key_reused_with_another_body() -> None:
    async def scenario(fleet: Fleet) -> None:
        first, second, _ = fleet.instances
        assert await first.run(KEY, b'one') == ANSWER
        for instance in (first, second):
            refused = await refusal_of(instance.run(KEY, b'two'))
            assert refused.code is refusal.Code.key_reused
            assert refused.run_state is refusal.RunState.did_not_run

    run_scenario(scenario)


def test_long_answer_is_not_kept() -> None:
    async def scenario(fleet: Fleet) -> None:
        first, second, _ = fleet.instances
        assert await first.run(KEY) == ANSWER
        await first.claims.drain()
        refused = await refusal_of(second.run(KEY))
        assert refused.code is refusal.Code.answer_not_kept
        assert refused.run_state is refusal.RunState.ran

    settings = claims_settings.ClaimsSettings(kept_answer_bytes=3)
    run_scenario(scenario, settings=settings)


def test_backend_that_started_nothing_may_be_replaced_by_another() -> None:
    async def scenario(fleet: Fleet) -> None:
        claimant = fleet.instances[0]
        acquired = await acquire_at(claimant)
        assert claimant.claims.may_dispatch(acquired.attempt)
        assert not claimant.claims.may_dispatch(acquired.attempt)
        claimant.claims.allow_redispatch(acquired.attempt)
        assert claimant.claims.may_dispatch(acquired.attempt)

    run_scenario(scenario)


def test_number_of_shards_is_agreed_once() -> None:
    async def scenario(fleet: Fleet) -> None:
        assert await fleet.instances[0].run(KEY) == ANSWER
        fleet.settings = claims_settings.ClaimsSettings(shards=7)
        late = claims_instance.ClaimsInstance(
            name='late',
            store=fleet.store,
            settings=fleet.settings,
            clock=clock.MonotonicClock(),
            ledger=fleet.ledger,
        )
        fleet.instances.append(late)
        assert await late.run(KEY) == ANSWER

    run_scenario(scenario)


def test_idle_shard_is_forgotten_and_loaded_again() -> None:
    time = clock.ManualClock()

    async def scenario(fleet: Fleet) -> None:
        first, second, _ = fleet.instances
        second.peers.alive_members = (first.this,)
        assert await first.run(KEY) == ANSWER
        await first.claims.drain()
        time.advance(claim_shard.IDLE_TIMEOUT_S + 1)
        assert await first.run('other')
        assert await first.run(KEY) == ANSWER
        assert await second.run(KEY) == ANSWER

    run_scenario(scenario, time=time)


@pytest.mark.parametrize('age_s', [0, 400, 1300])
def test_snapshots_and_retention(
    monkeypatch: pytest.MonkeyPatch,
    age_s: int,
) -> None:
    monkeypatch.setattr(claim_log, 'MIN_SNAPSHOT_RECORDS', 10)
    time = clock.ManualClock()
    settings = claims_settings.ClaimsSettings(
        shards=1,
        batch_spacing_ms=0,
        retention_s=800,
    )

    async def scenario(fleet: Fleet) -> None:
        first, second, third = fleet.instances
        await third.run(KEY)
        for number in range(60):
            await first.run(f'key-{number}')
            await first.claims.drain()
        assert fleet.store.keys('claims/0/snapshot')
        time.advance(age_s)
        for number in range(60):
            await second.run(f'other-{number}')
            await second.claims.drain()
        kept = fleet.store.keys('claims/0/1')
        assert ('claims/0/1' in kept) == (age_s < settings.retention_s)
        if age_s < settings.retention_s:
            assert await third.run(KEY) == ANSWER
            assert await third.run('key-7')
            assert set(fleet.ledger.values()) == {1}
        else:
            claimed = await third.acquire(KEY)
            assert isinstance(claimed, acquired_claim.AcquiredClaim)

    run_scenario(scenario, time=time, settings=settings)
