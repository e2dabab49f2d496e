"""Check that controllers never overcommit memory or abort running work."""

import itertools
from collections.abc import Callable

import pytest

from emulator import memory_engine
from oatcrank import clock, ids
from oatcrank.control import load_budget, model_need
from oatcrank.engines import engine, order
from oatcrank.settings import weight_store_settings
from tests import control_world

FAULTS = tuple(memory_engine.Fault)
FAULTS_WITHOUT_FREEZE = tuple(
    fault for fault in FAULTS if fault is not memory_engine.Fault.freeze
)
Fault = memory_engine.Fault


@pytest.fixture
def world():
    new_world = control_world.World()
    new_world.lead(0)
    new_world.rounds(0)
    yield new_world
    new_world.close()


def load(world: control_world.World, model: str, server: str = 's0') -> None:
    world.move('load', server, model)
    world.rounds(0)
    assert world.state(server, model) == 'loaded'


def test_dead_listed_server_is_not_observed(
    world: control_world.World,
) -> None:
    load(world, 'a')
    world.engines['s0'].is_down = True
    # Its report expires after 5 s; after two lost replies it is unresponsive.
    world.rounds(0, 20)
    views = {
        view.server: view for view in world.policy.observations[-1].servers
    }
    assert 's0' not in views
    assert world.state('s0', 'a') == 'loaded'
    load(world, 'a', 's1')
    world.engines['s0'].is_down = False
    world.rounds(0, 8)
    views = {
        view.server: view for view in world.policy.observations[-1].servers
    }
    assert views['s0'].loaded == ('a',)
    control_world.check(world)


def swap(world: control_world.World, number: int = 0, rounds: int = 30) -> None:
    """Unload a from s0 and try to load b, which does not fit beside it."""
    world.move('unload', 's0', 'a')
    for _ in range(rounds):
        world.rounds(number, 1)
        world.move('load', 's0', 'b')


@pytest.mark.parametrize('fault', FAULTS_WITHOUT_FREEZE)
@pytest.mark.parametrize('checks', [True, False])
def test_order_settles(fault: memory_engine.Fault, checks: bool) -> None:
    world = control_world.World((checks,))
    world.lead(0)
    world.rounds(0)
    backend = world.engines['s0']
    backend.faults.append(fault)
    world.move('load', 's0', 'a')
    world.rounds(0, 20)
    assert world.state('s0', 'a') == 'loaded'
    backend.faults.append(fault)
    swap(world, rounds=50)
    assert backend.models() == ('b',)
    control_world.check(world)
    world.close()


def late_load(world: control_world.World) -> None:
    """Deliver a duplicate load after the model was unloaded."""
    world.engines['s0'].faults.append(Fault.double)
    load(world, 'a')
    swap(world, rounds=4)
    world.engines['s0'].deliver_late_order(0)


def late_unload(world: control_world.World) -> None:
    """Deliver a duplicate unload after the model was requested again."""
    load(world, 'a')
    world.engines['s0'].faults.append(Fault.double)
    world.move('unload', 's0', 'a')
    for _ in range(6):
        world.rounds(0, 1)
        world.move('load', 's0', 'a')
    world.start_work('s0', 'a')
    world.engines['s0'].deliver_late_order(0)


def resumed(world: control_world.World) -> None:
    """Resume a superseded controller that froze just before its send."""
    backend = world.engines['s0']
    backend.faults.append(Fault.freeze)
    world.move('load', 's0', 'a')
    world.rounds(0)
    world.processes[0].frozen = True
    world.lead(1)
    world.rounds(1, 20)
    assert world.state('s0', 'a') == 'loaded'
    swap(world, 1, rounds=60)
    backend.frozen_orders_released.set()
    world.processes[0].frozen = False
    world.run_tasks()
    world.rounds(1, 2)


def settled_before(world: control_world.World) -> None:
    """Replace a model that a frozen controller loaded; it cannot reload it."""
    load(world, 'a')
    world.processes[0].frozen = True
    world.lead(1)
    swap(world, 1, rounds=50)
    assert world.engines['s0'].models() == ('b',)


def twice_superseded(world: control_world.World) -> None:
    """Resume the first of two superseded controllers during a load."""
    backend = world.engines['s0']
    backend.faults.append(Fault.freeze)
    world.move('load', 's0', 'a')
    world.rounds(0)
    world.processes[0].frozen = True
    world.lead(1)
    world.rounds(1, 10)
    world.restart(1)
    world.lead(1)
    swap(world, 1, rounds=60)
    world.wake()


def doubled_at_takeover(world: control_world.World) -> None:
    """Deliver the duplicate of a confirmed load after a takeover."""
    world.clock.advance(4 * control_world.SETTLED_S)
    world.engines['s0'].faults.append(Fault.double)
    load(world, 'a')
    world.lead(1)
    world.restart(0)
    swap(world, 1, rounds=4)
    world.engines['s0'].deliver_late_order(0)


def restarted(world: control_world.World) -> None:
    """Restart the engine empty while a duplicate load is in flight."""
    world.engines['s0'].faults.append(Fault.double)
    load(world, 'a')
    world.engines['s0'].restart()
    swap(world, rounds=4)
    world.engines['s0'].deliver_late_order(0)


def stale_reload(world: control_world.World) -> None:
    """Deliver stale reports of a model while it loads again."""
    load(world, 'a')
    world.engines['s0'].report_lag_s = control_world.LAG_S
    world.move('unload', 's0', 'a')
    while world.engines['s0'].models():
        world.rounds(0, 1)
    world.engines['s0'].load_s = 100
    for _ in range(40):
        world.move('load', 's0', 'a')
        world.rounds(0, 1)
        assert world.state('s0', 'a') != 'loaded'
    world.engines['s0'].load_s = 0


def doubled_unload_at_takeover(world: control_world.World) -> None:
    """Deliver a superseded controller's duplicate unload on a reload."""
    load(world, 'a')
    world.engines['s0'].faults.append(Fault.double)
    world.move('unload', 's0', 'a')
    world.rounds(0, 2)
    world.lead(1)
    world.restart(0)
    for _ in range(15):
        world.rounds(1, 1)
        world.move('load', 's0', 'a')
    world.start_work('s0', 'a')
    world.engines['s0'].deliver_late_order(0)


def paused_before_send(world: control_world.World) -> None:
    """Expire the lease after the plan is written and before the send."""
    backend = world.engines['s0']
    lease = world.processes[0].lease
    original_report = backend.report

    async def lose_lease_and_report(*, timeout_s: float) -> engine.EngineReport:
        if world.state('s0', 'a') == 'loading':
            lease.fence = None
        return await original_report(timeout_s=timeout_s)

    backend.report = lose_lease_and_report  # type: ignore[method-assign]
    world.move('load', 's0', 'a')
    world.rounds(0, 5)
    assert not backend.executed_orders
    backend.report = original_report  # type: ignore[method-assign]


def stale_reports(world: control_world.World) -> None:
    """Deliver reports from before the load."""
    world.engines['s0'].report_lag_s = control_world.LAG_S
    world.move('load', 's0', 'a')
    world.rounds(0, 3)
    swap(world, rounds=30)


def two_holders(world: control_world.World) -> None:
    """Let two processes count the lease as held at once."""
    world.lead(1)
    for _ in range(5):
        world.move('load', 's0', 'a')
        world.rounds(0, 1)
        world.move('load', 's0', 'b')
        world.rounds(1, 1)


def lost_plan_answer(world: control_world.World) -> None:
    """Lose the reply to the write of the plan."""
    world.store.lose_answers = 1
    load(world, 'a')


def lost_plan_write(world: control_world.World) -> None:
    """Lose the write of the plan itself."""
    world.store.lose_requests = 1
    world.move('load', 's0', 'b')
    world.rounds(0)
    assert not world.engines['s0'].models()
    load(world, 'a')


@pytest.mark.parametrize(
    'case',
    [
        late_load,
        late_unload,
        resumed,
        settled_before,
        twice_superseded,
        doubled_at_takeover,
        restarted,
        stale_reports,
        stale_reload,
        doubled_unload_at_takeover,
        paused_before_send,
        two_holders,
        lost_plan_answer,
        lost_plan_write,
    ],
)
def test_no_overcommit_and_no_abort(
    world: control_world.World,
    case: Callable[[control_world.World], None],
) -> None:
    case(world)
    control_world.check(world)
    control_world.heal(world)
    control_world.check(world)


def test_running_work_is_drained(world: control_world.World) -> None:
    load(world, 'a')
    assert world.start_work('s0', 'a')
    world.move('unload', 's0', 'a')
    world.rounds(0, 10)
    assert world.state('s0', 'a') == 'draining'
    world.waiting['a'] = 1
    world.rounds(0, 1)
    assert world.state('s0', 'a') == 'loaded'


def test_observations_are_consecutive(world: control_world.World) -> None:
    world.clock.advance(1000)
    world.rounds(0, 4)
    observations = world.policy.observations
    assert len(observations) > 4
    for before, after in itertools.pairwise(observations):
        assert after.since_s == before.now_s
        assert after.now_s > after.since_s


def test_leaving_server(world: control_world.World) -> None:
    load(world, 'a')
    listed = world.listed
    assert listed is not None
    world.engines['s0'].is_leaving = True
    world.rounds(0, 20)
    assert world.state('s0', 'a') == 'draining'
    world.move('load', 's0', 'd')
    world.move('load', 's1', 'a')
    world.rounds(0)
    assert world.state('s0', 'd') == ''
    assert world.state('s1', 'a') == 'loaded'
    world.listed = listed[1:]
    world.rounds(0, 2, control_world.SETTLED_S)
    assert world.state('s0', 'a') == ''


@pytest.mark.parametrize(('size_mb', 'reserved_mb'), [(40, 100), (41, 60)])
def test_new_adapters_raise_the_reservation(
    world: control_world.World,
    size_mb: int,
    reserved_mb: int,
) -> None:
    load(world, 'a')
    model = ids.ModelName('a')
    world.needs = {
        model: model_need.ModelNeed(
            model=model,
            memory_mb=60 + size_mb,
            adapters=(ids.AdapterName('one'),),
            adapter_memory_mb=(size_mb,),
        ),
    }
    world.rounds(0)
    assert world.published is not None
    replica = world.published.replicas[0]
    assert replica.memory_mb == reserved_mb
    assert bool(replica.adapters) == (reserved_mb > 60)


def test_load_budget_limits_rate_and_concurrency() -> None:
    manual_clock = clock.ManualClock()
    limits = weight_store_settings.WeightStoreSettings(
        loads_per_s=2,
        concurrent_loads=2,
        adapters_in_transit=1,
    )
    budget = load_budget.LoadBudget(limits, manual_clock)
    started = []
    for number in range(12):
        key = (ids.ServerId(str(number)), ids.ModelName('a'))
        if budget.try_start(key):
            started.append(number)
        if number == 8:
            budget.finish((ids.ServerId('2'), ids.ModelName('a')))
        manual_clock.advance(0.25)
    assert started == [2, 4, 9]
    assert budget.free_slots() == 0


def test_orders_carry_the_fence(world: control_world.World) -> None:
    load(world, 'a')
    world.lead(1)
    world.engines['s1'].faults.append(Fault.drop)
    world.move('load', 's1', 'b')
    world.rounds(1)
    world.lead(0)
    world.rounds(0, 10)
    executed = [
        (executed_order.kind, executed_order.fence)
        for backend in world.engines.values()
        for executed_order in backend.executed_orders
    ]
    assert executed == [
        (order.OrderKind.load_model, 1),
        (order.OrderKind.load_model, 3),
    ]
