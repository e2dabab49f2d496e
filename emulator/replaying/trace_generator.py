"""Generate traces of both sites from a seed."""

import random

import msgspec

from emulator.replaying import (
    _demand_pattern,
    site_spec,
    site_specs,
    trace,
    trace_event,
    trace_header,
)
from oatcrank import ids
from oatcrank.configuration import profile

SITES = tuple(site_specs.SPEC_BY_SITE)
PATTERNS = tuple(pattern.value for pattern in _demand_pattern.DemandPattern)
COMMITTED_SEED = 1
TUNING_SEEDS = (1, 2)
HELD_OUT_SEEDS = (101, 102, 103)
TRACE_S = 600.0
ADAPTER_SHARE = 0.6
WAVE_ADAPTER_SHARE = 0.95
PROFILE_WEIGHTS = (6, 3, 1)
PROMPT_MEAN_TOKENS = 300
ANSWER_MEAN_TOKENS = 80
MIN_TOKENS = 8
PREFIX_COUNT = 12
STATED_ATTAINMENT = 0.8
FAULT_START = 0.45
FAULT_END = 0.55
TIME_DIGITS = 3


def generate(
    site: str,
    pattern: str,
    seed: int,
    *,
    seconds: float = TRACE_S,
) -> trace.Trace:
    """Return the trace that a seed gives for a site and demand pattern."""
    spec = site_specs.SPEC_BY_SITE[site]
    rng = random.Random(f'{site} {pattern} {seed}')
    header = msgspec.structs.replace(
        _trace_header(spec, pattern, seed), seconds=seconds
    )
    demand = _demand_pattern.DemandRates(
        _demand_pattern.DemandPattern(pattern),
        models=len(header.models),
        seconds=seconds,
        rng=rng,
    )
    arrivals = [
        _arrival(header, model, at_s, demand, rng)
        for index, model in enumerate(header.models)
        for at_s in _arrival_times(demand, index, seconds, rng)
    ]
    arrivals.sort(key=lambda arrival: arrival.at)
    return trace.Trace(header=header, arrivals=tuple(arrivals))


def with_faults(fault_free: trace.Trace) -> trace.Trace:
    """Return the trace with the fault events of its demand pattern.

    In the morning peak a failure domain is down for a tenth of the trace, in a
    demand shift the key-value service; other patterns have no faults.
    """
    header = fault_free.header
    patterns = _demand_pattern.DemandPattern
    subject_by_pattern = {
        patterns.morning_peak.value: header.failure_domains[0],
        patterns.demand_shift.value: 'key_value',
    }
    subject = subject_by_pattern.get(header.pattern)
    if subject is None:
        return fault_free
    events = tuple(
        trace_event.Event(
            at=elapsed_share * header.seconds,
            event=trace_event.EventKind.fault,
            subject=subject,
            body={'down': down},
        )
        for elapsed_share, down in ((FAULT_START, True), (FAULT_END, False))
    )
    return msgspec.structs.replace(fault_free, events=events)


def _trace_header(
    spec: site_spec.SiteSpec,
    pattern: str,
    seed: int,
) -> trace_header.TraceHeader:
    return trace_header.TraceHeader(
        format=trace_header.FORMAT,
        site=spec.site,
        region=spec.region,
        pattern=pattern,
        seed=seed,
        seconds=TRACE_S,
        failure_domains=tuple(
            ids.FailureDomain(f'{spec.region}-{letter}') for letter in 'abc'
        ),
        store=spec.store,
        pools=site_spec.pools(spec),
        models=site_spec.models(spec),
        profiles=spec.profiles,
        reasons=site_spec.REASONS,
        stated_attainment=STATED_ATTAINMENT,
    )


def _arrival_times(
    demand: _demand_pattern.DemandRates,
    model: int,
    seconds: float,
    rng: random.Random,
) -> list[float]:
    times = []
    for second in range(int(seconds)):
        rate = demand.rate(model, second)
        at_s = rng.expovariate(rate) if rate else 1
        while at_s < 1:
            times.append(round(second + at_s, TIME_DIGITS))
            at_s += rng.expovariate(rate)
    return times


def _arrival(
    header: trace_header.TraceHeader,
    model: trace_header.TraceModel,
    at_s: float,
    demand: _demand_pattern.DemandRates,
    rng: random.Random,
) -> trace_event.Arrival:
    chosen_profile = rng.choices(header.profiles, PROFILE_WEIGHTS)[0]
    share = WAVE_ADAPTER_SHARE if demand.in_wave(at_s) else ADAPTER_SHARE
    adapter = ids.AdapterName('')
    if rng.random() < share:
        adapter = rng.choice(model.adapters)
    return trace_event.Arrival(
        at=at_s,
        profile=chosen_profile.name,
        model=model.name,
        prompt=_tokens(PROMPT_MEAN_TOKENS, rng),
        answer=_tokens(ANSWER_MEAN_TOKENS, rng),
        adapter=adapter,
        prefix=f'p{rng.randrange(PREFIX_COUNT)}',
        repeatable=not chosen_profile.at_most_once,
        outcome=_outcome(header, chosen_profile),
    )


def _outcome(
    header: trace_header.TraceHeader,
    chosen_profile: profile.Profile,
) -> trace_event.ExpectedOutcome:
    if chosen_profile.at_most_once:
        return trace_event.ExpectedOutcome.answered_or_refused
    if header.pattern == _demand_pattern.DemandPattern.quiet.value:
        return trace_event.ExpectedOutcome.answered
    return trace_event.ExpectedOutcome.answered_or_not_run


def _tokens(mean: int, rng: random.Random) -> int:
    return MIN_TOKENS + round(
        rng.expovariate(1 / (mean - MIN_TOKENS)),
    )
