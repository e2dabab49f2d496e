"""Check that plans are encoded compactly and only updated forward."""

import pytest

from oatcrank import ids
from oatcrank.control import plan, plan_codec, plan_store, plan_view
from tests import control_world


def plan_of(version: int, count: int, state: str = 'loaded') -> plan.Plan:
    return plan.Plan(
        pool=control_world.POOL,
        fence=ids.Fence(version),
        version=version,
        controller=ids.InstanceId('x'),
        replicas=tuple(
            plan.Replica(
                server=ids.ServerId(f'server-{number % 1000:04}'),
                model=ids.ModelName(f'model-{number % 1200:04}'),
                state=plan.ReplicaState(state),
                memory_mb=40_000,
                adapters=(ids.AdapterName('one'), ids.AdapterName('two')),
                since=100_000 + number,
                load_fence=ids.Fence(1234),
            )
            for number in range(count)
        ),
    )


@pytest.mark.parametrize('count', [0, 1, 10_000])
def test_codec_round_trip(count: int) -> None:
    current = plan_of(3, count)
    text = plan_codec.encode(current)
    assert plan_codec.decode(text) == current
    assert len(text) < plan_store.MAX_PLAN_BYTES


@pytest.mark.parametrize(
    ('versions', 'newest'),
    [((1, 2), 2), ((2, 1), 2), ((2, 2), 2)],
)
def test_view_keeps_the_newest_plan(
    versions: tuple[int, ...], newest: int
) -> None:
    view = plan_view.PlanView()
    for version in versions:
        view.update(plan_of(version, 1200))
    assert view.version(control_world.POOL) == newest
    model = ids.ModelName('model-0001')
    assert [replica.server for replica in view.replicas_of(model)] == [
        'server-0001'
    ]
    view.update(plan_of(9, 1200, 'draining'))
    assert not view.replicas_of(model)
