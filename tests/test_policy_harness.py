"""Test that replays are deterministic and that placements are valid."""

import msgspec
import pytest
from hypothesis import Phase, given, settings, strategies

from emulator.replaying import (
    policy_harness,
    static_placement,
    trace,
    trace_event,
    trace_generator,
    trace_header,
)
from oatcrank import ids
from oatcrank.placing import (
    expected_gain_placement,
    on_demand_placement,
    placement,
)
from oatcrank.settings import policy_settings

NEW_PLACEMENT_BY_POLICY = {
    'static': lambda: static_placement.StaticPlacement({}),
    'on_demand': on_demand_placement.OnDemandPlacement,
    'expected_gain': lambda: expected_gain_placement.ExpectedGainPlacement(
        policy_settings.PolicySettings(),
    ),
}


def _run(recorded: trace.Trace, policy: str) -> policy_harness.PolicyHarness:
    placements: dict[ids.PoolName, placement.PlacementPolicy] = {
        pool.name: NEW_PLACEMENT_BY_POLICY[policy]()
        for pool in recorded.header.pools
    }
    harness = policy_harness.PolicyHarness(recorded, placements)
    harness.run()
    return harness


@pytest.mark.parametrize('policy', NEW_PLACEMENT_BY_POLICY)
def test_replay_is_deterministic(policy: str) -> None:
    recorded = trace_generator.generate('trilha', 'quiet', 7)
    first = _run(recorded, policy)
    second = _run(recorded, policy)
    assert first.score.summary() == second.score.summary()
    assert first.samples == second.samples
    assert first.score.whole.arrived == len(recorded.arrivals)


def _arrival_time(
    drawn_arrival: tuple[float, trace_header.TraceModel, int],
) -> float:
    return drawn_arrival[0]


# A server that holds one model at a time takes 4.67 s to load it and up to 2 s
# to answer, so it can serve this many models in turn within 40 s, the time for
# which an answer is useful.
MAX_SERVABLE_MODELS = 5


@strategies.composite
def small_traces(
    draw: strategies.DrawFn,
    max_models: int | None = None,
) -> trace.Trace:
    """Draw a few servers, models of any size that fits, and their arrivals."""
    header = trace_generator.generate('yard', 'quiet', 7).header
    sizes = draw(
        strategies.lists(
            strategies.integers(1, 100),
            min_size=1,
            max_size=max_models,
        ),
    )
    pool = trace_header.TracePool(
        name=ids.PoolName('pool'),
        servers=draw(strategies.integers(1, 4)),
        memory_mb=100,
        slots=draw(strategies.integers(1, 8)),
    )
    models = tuple(
        trace_header.TraceModel(
            name=ids.ModelName(f'm{number}'),
            pool=pool.name,
            memory_mb=size,
            prompt_tokens_per_s=4000,
            answer_tokens_per_s=40,
        )
        for number, size in enumerate(sizes)
    )
    header = msgspec.structs.replace(
        header,
        pools=(pool,),
        models=models,
        seconds=60,
    )
    timed_requests = strategies.tuples(
        strategies.floats(0, 60),
        strategies.sampled_from(models),
        strategies.integers(1, 80),
    )
    drawn = draw(strategies.lists(timed_requests, max_size=60))
    arrivals = tuple(
        trace_event.Arrival(
            at=at_s,
            profile=header.profiles[1].name,
            model=model.name,
            prompt=10,
            answer=answer,
        )
        for at_s, model, answer in sorted(drawn, key=_arrival_time)
    )
    return trace.Trace(header=header, arrivals=arrivals)


@pytest.mark.parametrize('policy', ['on_demand', 'expected_gain'])
@settings(
    derandomize=True,
    deadline=None,
    max_examples=20,
    phases=(Phase.explicit, Phase.generate),
)
@given(recorded=small_traces())
def test_keeps_the_rules(policy: str, recorded: trace.Trace) -> None:
    # The harness raises MoveRefused for a load without enough free memory, an
    # unload of a busy model and more loads than the store has slots for.
    score = _run(recorded, policy).score
    counted = score.whole.answered + score.whole.refused
    assert counted == score.whole.arrived == len(recorded.arrivals)


@settings(
    derandomize=True,
    deadline=None,
    max_examples=20,
    phases=(Phase.explicit, Phase.generate),
)
@given(recorded=small_traces(max_models=MAX_SERVABLE_MODELS))
def test_every_model_is_reached(recorded: trace.Trace) -> None:
    score = _run(recorded, 'expected_gain').score
    unanswered = [
        model for model, tally in score.by_model.items() if not tally.answered
    ]
    assert not unanswered
