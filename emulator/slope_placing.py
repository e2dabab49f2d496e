"""Measure the cost of placement, plans and routing."""

import functools
from collections.abc import Callable, Iterator

from emulator import policy_cost, slope, slope_fit, slope_memory, slope_timing
from oatcrank import clock, ids
from oatcrank.control import plan, plan_codec, plan_view
from oatcrank.engines import backend_server
from oatcrank.entry import router
from oatcrank.membership import instance_list

COMMAND = 'python -m emulator slopes --only placing'
MODELS = (10, 100, 300, 1200)
QUICK_MODELS = (10, 300)
SERVERS = (8, 30, 100, 300)
QUICK_SERVERS = (8, 100)
REPLICAS = (10, 100, 300, 1000)
ROUTE_CANDIDATES = (10, 30, 100, 300)
MODELS_PER_SERVER = 2
MODEL_MB = 27_000
ROUTE_CALLS = 400
PLAN_CALLS = 5
US_PER_MS = 1000

Workload = Callable[[], object]


def measure(*, quick: bool) -> Iterator[slope.Slope]:
    """Return the slopes of a pool's controller and of the data path."""
    repeats = slope_timing.QUICK_REPEATS if quick else slope_timing.REPEATS
    for servers in QUICK_SERVERS if quick else SERVERS:
        yield _placement_rounds(servers, QUICK_MODELS if quick else MODELS)
    yield slope_fit.fit(
        'plan_bytes',
        [slope.point(size, [len(_encoded_plan(size))]) for size in REPLICAS],
        unit='B',
        per='replica in the plan',
        command=COMMAND,
    )
    yield slope_fit.fit(
        'plan_encode',
        slope_timing.measure_sizes(
            REPLICAS, _prepare_encode, repeats=repeats, calls=PLAN_CALLS
        ),
        unit='us',
        per='replica in the plan',
        command=COMMAND,
    )
    yield slope_fit.fit(
        'plan_take',
        slope_timing.measure_sizes(
            REPLICAS, _prepare_plan_update, repeats=repeats, calls=PLAN_CALLS
        ),
        unit='us',
        per='replica in the plan',
        command=COMMAND,
        condition='decoded and indexed, as every instance does with a plan',
    )
    yield slope_fit.fit(
        'plan_memory',
        slope_memory.measure_sizes(REPLICAS, _prepare_plan_view),
        unit='B',
        per='replica in the plan',
        command=COMMAND,
        condition='decoded and indexed',
    )
    yield slope_fit.fit(
        'route_decision',
        slope_timing.measure_sizes(
            ROUTE_CANDIDATES,
            _prepare_routing,
            repeats=repeats,
            calls=ROUTE_CALLS,
        ),
        unit='us',
        per='replica of the model',
        command=COMMAND,
        condition='no prefix; every replica has room',
    )


def _placement_rounds(servers: int, models: tuple[int, ...]) -> slope.Slope:
    costs = [policy_cost.measure(size, servers) for size in models]
    return slope_fit.fit(
        f'placement_round_{servers}_servers',
        [
            slope.Point(
                size=cost.models,
                median=round(cost.median_ms * US_PER_MS, 1),
                low=round(cost.median_ms * US_PER_MS, 1),
                high=round(cost.longest_ms * US_PER_MS, 1),
            )
            for cost in costs
        ],
        unit='us',
        per='model in the pool',
        command=COMMAND,
        condition=f'{servers} servers; wall time; high is the longest of '
        f'{policy_cost.ROUNDS} rounds',
    )


def _encoded_plan(replicas: int) -> str:
    return plan_codec.encode(_plan_of(replicas))


def _prepare_encode(replicas: int) -> Workload:
    return functools.partial(plan_codec.encode, _plan_of(replicas))


def _prepare_plan_update(replicas: int) -> Workload:
    text = _encoded_plan(replicas)
    return lambda: plan_view.PlanView().update(plan_codec.decode(text))


def _prepare_plan_view(replicas: int) -> Workload:
    text = _encoded_plan(replicas)

    def build() -> plan_view.PlanView:
        view = plan_view.PlanView()
        view.update(plan_codec.decode(text))
        return view

    return build


def _plan_of(replicas: int) -> plan.Plan:
    return plan.Plan(
        pool=ids.PoolName('pool-1'),
        fence=ids.Fence(3),
        version=1,
        controller=ids.InstanceId('entry-1'),
        replicas=tuple(
            plan.Replica(
                server=ids.ServerId(f'server-{number // MODELS_PER_SERVER}'),
                model=ids.ModelName(f'model-{number}'),
                state=plan.ReplicaState.loaded,
                memory_mb=MODEL_MB,
                since=number,
                load_fence=ids.Fence(1),
            )
            for number in range(replicas)
        ),
    )


def _prepare_routing(replicas: int) -> Workload:
    monotonic_clock = clock.MonotonicClock()
    router_instance = router.Router(
        failure_domain=ids.FailureDomain('a'), seed=1
    )
    servers = [
        backend_server.BackendServer(
            instance_list.Instance(
                instance_id=f'server-{number}',
                kind=instance_list.Kind.engine,
                address='127.0.0.1:1',
                failure_domain=ids.FailureDomain('b'),
            ),
            monotonic_clock,
        )
        for number in range(replicas)
    ]
    return functools.partial(router_instance.choose, servers)
