"""Check that placement policies keep their rules for any observation."""

import collections
import itertools

import msgspec
import pytest
from hypothesis import given, settings, strategies

from emulator.replaying import static_placement
from oatcrank import ids
from oatcrank.placing import (
    expected_gain_placement,
    on_demand_placement,
    placement,
)
from oatcrank.settings import policy_settings

MEMORY_MB = 100
MODELS = tuple(ids.ModelName(f'm{number}') for number in range(8))
STATES = ('loaded', 'loaded', 'loading', 'unloading', 'draining')
WEIGHTS = strategies.builds(
    policy_settings.PolicySettings,
    accelerator_weight=strategies.sampled_from((0, 1, 50)),
    move_weight=strategies.sampled_from((0, 1, 50)),
)


@strategies.composite
def servers(
    draw: strategies.DrawFn,
    size_by_model: dict[ids.ModelName, int],
) -> tuple[placement.ServerView, ...]:
    """Draw servers whose models fit, in any mix of states."""
    views = []
    for number in range(draw(strategies.integers(1, 4))):
        free_mb = MEMORY_MB
        held: dict[str, list[ids.ModelName]] = collections.defaultdict(list)
        for model in draw(strategies.lists(strategies.sampled_from(MODELS))):
            there = model in itertools.chain(*held.values())
            if size_by_model[model] <= free_mb and not there:
                free_mb -= size_by_model[model]
                held[draw(strategies.sampled_from(STATES))].append(model)
        running = [*held['loaded'], *held['draining']]
        busy = [known for known in running if draw(strategies.booleans())]
        views.append(
            placement.ServerView(
                server=ids.ServerId(f's{number}'),
                failure_domain=ids.FailureDomain('a'),
                memory_mb=MEMORY_MB,
                free_mb=free_mb,
                slots=draw(strategies.integers(1, 8)),
                loaded=tuple(held['loaded']),
                loading=tuple(held['loading']),
                unloading=tuple(held['unloading']),
                draining=tuple(held['draining']),
                busy=tuple(busy),
            ),
        )
    return tuple(views)


@strategies.composite
def rounds(draw: strategies.DrawFn) -> list[placement.Observation]:
    """Draw a few rounds that are independent of each other."""
    sizes = strategies.integers(1, MEMORY_MB)
    size_by_model = {model: draw(sizes) for model in MODELS}
    return [
        placement.Observation(
            now_s=number + 1,
            since_s=number,
            load_slots=draw(strategies.integers(0, 4)),
            load_s=4,
            servers=draw(servers(size_by_model)),
            models=tuple(
                placement.ModelView(
                    model=model,
                    memory_mb=size,
                    arrivals=draw(strategies.integers(0, 9)),
                    waiting=draw(strategies.integers(0, 9)),
                    running=0,
                    service_s=2,
                    first_token_s=1,
                )
                for model, size in size_by_model.items()
            ),
        )
        for number in range(draw(strategies.integers(1, 5)))
    ]


class _Ledger:
    """Check each move of a round against its replicas."""

    def __init__(self, observation: placement.Observation) -> None:
        self.load_slots = observation.load_slots
        self.size_by_model = {
            view.model: view.memory_mb for view in observation.models
        }
        self.view_by_server = {
            view.server: view for view in observation.servers
        }
        self.free_by_server = {
            view.server: view.free_mb for view in observation.servers
        }
        self.moved: set[tuple[ids.ServerId, ids.ModelName]] = set()
        self.loaded = collections.Counter(
            model for view in observation.servers for model in view.loaded
        )

    def check(self, move: placement.Move) -> None:
        place = (move.server, move.model)
        assert place not in self.moved
        self.moved.add(place)
        view = self.view_by_server[move.server]
        if move.kind is placement.MoveKind.load:
            self.check_load(move, view)
        elif move.kind is placement.MoveKind.unload:
            assert move.model in (*view.loaded, *view.draining)
            assert move.model not in view.busy
            self.loaded[move.model] -= move.model in view.loaded
        else:
            assert move.model in view.loaded
            self.loaded[move.model] -= 1
            assert self.loaded[move.model] > 0

    def check_load(
        self,
        move: placement.Move,
        view: placement.ServerView,
    ) -> None:
        assert move.model not in (*view.loaded, *view.loading)
        assert move.model not in (*view.unloading, *view.draining)
        self.load_slots -= 1
        assert self.load_slots >= 0
        self.free_by_server[move.server] -= self.size_by_model[move.model]
        assert self.free_by_server[move.server] >= 0


def _placement(
    policy: str,
    weights: policy_settings.PolicySettings,
) -> placement.PlacementPolicy:
    if policy == 'static':
        return static_placement.StaticPlacement({})
    if policy == 'on_demand':
        return on_demand_placement.OnDemandPlacement()
    return expected_gain_placement.ExpectedGainPlacement(weights)


@pytest.mark.parametrize('policy', ['static', 'on_demand', 'expected_gain'])
@settings(derandomize=True, deadline=None, max_examples=60)
@given(drawn=rounds(), weights=WEIGHTS)
def test_moves_keep_the_rules(
    policy: str,
    drawn: list[placement.Observation],
    weights: policy_settings.PolicySettings,
) -> None:
    chooser = _placement(policy, weights)
    for seen in drawn:
        ledger = _Ledger(seen)
        for move in chooser.decide(seen):
            ledger.check(move)


def test_new_controller_keeps_loaded_models() -> None:
    server = placement.ServerView(
        server=ids.ServerId('s0'),
        failure_domain=ids.FailureDomain('a'),
        memory_mb=MEMORY_MB,
        free_mb=0,
        slots=8,
        loaded=MODELS[:2],
    )
    models = tuple(
        placement.ModelView(
            model=model,
            memory_mb=MEMORY_MB // 2,
            arrivals=int(model == MODELS[2]),
            waiting=0,
            running=0,
            service_s=2,
            first_token_s=1,
        )
        for model in MODELS[:3]
    )
    weights = policy_settings.PolicySettings(accelerator_weight=50)
    chooser = _placement('expected_gain', weights)
    first = placement.Observation(
        now_s=1000,
        since_s=999,
        load_slots=2,
        load_s=4,
        servers=(server,),
        models=models,
    )
    assert not chooser.decide(first)
    long_idle = msgspec.structs.replace(first, since_s=1200, now_s=1201)
    kinds = {move.kind for move in chooser.decide(long_idle)}
    assert kinds == {placement.MoveKind.unload}


def _server(
    number: int,
    loaded: tuple[ids.ModelName, ...],
    *,
    free_mb: int,
) -> placement.ServerView:
    return placement.ServerView(
        server=ids.ServerId(f's{number}'),
        failure_domain=ids.FailureDomain('a'),
        memory_mb=MEMORY_MB,
        free_mb=free_mb,
        slots=8,
        loaded=loaded,
        busy=loaded,
    )


@pytest.mark.parametrize(
    ('views', 'wanted'),
    [
        (
            (
                _server(0, (MODELS[0],), free_mb=40),
                _server(1, (MODELS[0],), free_mb=40),
            ),
            placement.MoveKind.drain,
        ),
        (
            (
                _server(0, (MODELS[0],), free_mb=40),
                _server(1, (MODELS[2],), free_mb=60),
            ),
            placement.MoveKind.load,
        ),
    ],
)
def test_absent_model_evicts_busy_models(
    views: tuple[placement.ServerView, ...],
    wanted: placement.MoveKind,
) -> None:
    size_by_model = {MODELS[0]: 60, MODELS[1]: 90, MODELS[2]: 40}
    observation = placement.Observation(
        now_s=1,
        since_s=0,
        load_slots=2,
        load_s=4,
        servers=views,
        models=tuple(
            placement.ModelView(
                model=model,
                memory_mb=size,
                arrivals=1,
                waiting=int(model == MODELS[1]),
                running=1,
                service_s=2,
                first_token_s=1,
            )
            for model, size in size_by_model.items()
        ),
    )
    chooser = _placement('expected_gain', policy_settings.PolicySettings())
    moves = chooser.decide(observation)
    assert [move.kind for move in moves] == [wanted]
    assert moves[0].model != MODELS[1]
