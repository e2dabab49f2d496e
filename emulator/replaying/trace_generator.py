"""Generate seeded traces of both sites."""

import random

import msgspec

from emulator.replaying import (
    _trace_spell,
    trace,
    trace_event,
    trace_head,
    trace_site,
    trace_sites,
)
from oatcrank import ids
from oatcrank.configuration import profile

SITES = tuple(trace_sites.SIZE_BY_SITE)
SPELLS = tuple(spell.value for spell in _trace_spell.Spell)
COMMITTED_SEED = 1
TUNING_SEEDS = (1, 2)
HELD_OUT_SEEDS = (101, 102, 103)
TRACE_S = 600.0
ADAPTER_SHARE = 0.6
WAVE_SHARE = 0.95
PROFILE_WEIGHTS = (6, 3, 1)
PROMPT_MEAN_TOKENS = 300
ANSWER_MEAN_TOKENS = 80
SHORTEST_TOKENS = 8
PREFIXES = 12
STATED_ATTAINMENT = 0.8
FAULT_START = 0.45
FAULT_END = 0.55
TIME_DIGITS = 3


def generate(
    site: str,
    spell: str,
    seed: int,
    *,
    seconds: float = TRACE_S,
) -> trace.Trace:
    """Return the trace that the seed gives for a site and spell."""
    size = trace_sites.SIZE_BY_SITE[site]
    kind = _trace_spell.Spell(spell)
    dice = random.Random(f'{site} {spell} {seed}')
    head = msgspec.structs.replace(_head(size, spell, seed), seconds=seconds)
    demand = _trace_spell.SpellDemand(
        kind,
        models=len(head.models),
        seconds=seconds,
        dice=dice,
    )
    arrivals = [
        _arrival(head, model, at_s, demand, dice)
        for index, model in enumerate(head.models)
        for at_s in _times(demand, index, seconds, dice)
    ]
    arrivals.sort(key=lambda arrival: arrival.at)
    return trace.Trace(head=head, arrivals=tuple(arrivals))


def with_faults(usual: trace.Trace) -> trace.Trace:
    """Return the trace with the fault that is brought about in its spell.

    At the morning peak a failure domain is lost; during a shift of demand the
    key-value service is down for a while.
    """
    subject_by_spell = {
        _trace_spell.Spell.morning_peak.value: usual.head.failure_domains[0],
        _trace_spell.Spell.demand_shift.value: 'key_value',
    }
    subject = subject_by_spell.get(usual.head.spell)
    if subject is None:
        return usual
    events = tuple(
        trace_event.Event(
            at=part * usual.head.seconds,
            event=trace_event.EventKind.fault,
            subject=subject,
            body={'down': down},
        )
        for part, down in ((FAULT_START, True), (FAULT_END, False))
    )
    return msgspec.structs.replace(usual, events=events)


def _head(
    size: trace_site.SiteSize,
    spell: str,
    seed: int,
) -> trace_head.TraceHead:
    return trace_head.TraceHead(
        format=trace_head.FORMAT,
        site=size.site,
        region=size.region,
        spell=spell,
        seed=seed,
        seconds=TRACE_S,
        failure_domains=tuple(
            ids.FailureDomain(f'{size.region}-{letter}') for letter in 'abc'
        ),
        store=size.store,
        pools=trace_site.pools(size),
        models=trace_site.models(size),
        profiles=size.profiles,
        reasons=trace_site.REASONS,
        stated_attainment=STATED_ATTAINMENT,
    )


def _times(
    demand: _trace_spell.SpellDemand,
    model: int,
    seconds: float,
    dice: random.Random,
) -> list[float]:
    times = []
    for second in range(int(seconds)):
        rate = demand.rate(model, second)
        at_s = dice.expovariate(rate) if rate else 1
        while at_s < 1:
            times.append(round(second + at_s, TIME_DIGITS))
            at_s += dice.expovariate(rate)
    return times


def _arrival(
    head: trace_head.TraceHead,
    model: trace_head.TraceModel,
    at_s: float,
    demand: _trace_spell.SpellDemand,
    dice: random.Random,
) -> trace_event.Arrival:
    chosen = dice.choices(head.profiles, PROFILE_WEIGHTS)[0]
    share = WAVE_SHARE if demand.in_wave(at_s) else ADAPTER_SHARE
    adapter = ids.AdapterName('')
    if dice.random() < share:
        adapter = dice.choice(model.adapters)
    return trace_event.Arrival(
        at=at_s,
        profile=chosen.name,
        model=model.name,
        prompt=_tokens(PROMPT_MEAN_TOKENS, dice),
        answer=_tokens(ANSWER_MEAN_TOKENS, dice),
        adapter=adapter,
        prefix=f'p{dice.randrange(PREFIXES)}',
        repeatable=not chosen.at_most_once,
        outcome=_outcome(head, chosen),
    )


def _outcome(
    head: trace_head.TraceHead,
    chosen: profile.Profile,
) -> trace_event.Outcome:
    if chosen.at_most_once:
        return trace_event.Outcome.told
    if head.spell == _trace_spell.Spell.quiet.value:
        return trace_event.Outcome.answered
    return trace_event.Outcome.settled


def _tokens(mean: int, dice: random.Random) -> int:
    return SHORTEST_TOKENS + round(
        dice.expovariate(1 / (mean - SHORTEST_TOKENS)),
    )
