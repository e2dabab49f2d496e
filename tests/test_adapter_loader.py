"""Test that adapters are ordered once and only if memory is reserved."""

import asyncio

import pytest

from emulator import memory_engine, settable_members
from oatcrank import clock, errors, ids
from oatcrank.control import plan, plan_view
from oatcrank.engines import adapter_loader, backend_server, order
from oatcrank.membership import instance_list, member

SERVER = ids.ServerId('s')
MODEL = ids.ModelName('m')
ADAPTER = ids.AdapterName('a')


@pytest.mark.parametrize(
    ('state', 'reserved', 'fault', 'orders'),
    [
        ('loaded', (ADAPTER,), None, 1),
        ('loaded', (), None, 0),
        ('draining', (ADAPTER,), None, 0),
        ('loaded', (ADAPTER,), memory_engine.Fault.drop, 0),
        ('loaded', (ADAPTER,), memory_engine.Fault.lose_answer, 1),
    ],
)
def test_ensure(
    state: str,
    reserved: tuple[ids.AdapterName, ...],
    fault: memory_engine.Fault | None,
    orders: int,
) -> None:
    async def run() -> memory_engine.MemoryEngine:
        manual_clock = clock.ManualClock()
        engine = memory_engine.MemoryEngine(
            SERVER, 10, {MODEL: 5, ADAPTER: 1}, manual_clock
        )
        loading = order.Order(
            order_id=ids.OrderId('1'),
            fence=ids.Fence(7),
            kind=order.OrderKind.load_model,
            model=MODEL,
        )
        await engine.order(loading, timeout_s=1)
        engine.executed_orders.clear()
        if fault is not None:
            engine.faults.append(fault)
        loader, server = make_loader(state, reserved, manual_clock)
        calls = [
            loader.ensure_loaded(server, engine, MODEL, ADAPTER)
            for _ in range(3)
        ]
        outcomes = await asyncio.gather(*calls, return_exceptions=True)
        succeeds = orders and fault is None
        expected = type(None) if succeeds else errors.NotLoaded
        assert all(isinstance(outcome, expected) for outcome in outcomes)
        return engine

    engine = asyncio.run(run())
    assert len(engine.executed_orders) == orders
    assert all(executed.fence == 7 for executed in engine.executed_orders)
    assert not engine.memory_excesses


def make_loader(
    state: str,
    reserved: tuple[ids.AdapterName, ...],
    manual_clock: clock.Clock,
) -> tuple[adapter_loader.AdapterLoader, backend_server.BackendServer]:
    plans = plan_view.PlanView()
    replica = plan.Replica(
        server=SERVER,
        model=MODEL,
        state=plan.ReplicaState(state),
        memory_mb=6,
        adapters=reserved,
    )
    plans.update(
        plan.Plan(
            pool=ids.PoolName('p'),
            fence=ids.Fence(7),
            version=1,
            controller=ids.InstanceId('x'),
            replicas=(replica,),
        ),
    )
    own = member.Member(
        instance_id=ids.InstanceId('x'),
        address='127.0.0.1:1',
        failure_domain=ids.FailureDomain('x'),
        incarnation=1,
    )
    loader = adapter_loader.AdapterLoader(
        plans=plans,
        members=settable_members.SettableMembers(own),
        max_concurrent_loads=1,
    )
    listed = instance_list.Instance(
        instance_id=SERVER,
        kind=instance_list.Kind.engine,
        address='127.0.0.1:1',
        failure_domain=ids.FailureDomain('x'),
    )
    return loader, backend_server.BackendServer(listed, manual_clock)
