"""Test which parts of prompts are refused after crashes of servers."""

import itertools
import random

import pytest

from oatcrank.routing import crash, crash_causes, crashing_parts, server_process

DUE_S = crashing_parts.REPORTS_DUE_S
BAD = 'bad'
FIRST = 'first'
crash_numbers = itertools.count(1)
fingerprints = itertools.count(1000)


def prompt(*parts, begun=True, request=None):
    """Return a prompt of a request that is unlike all others, or the same."""
    fingerprint = next(fingerprints) if request is None else request
    return crash.Prompt(parts, begun, fingerprint)


def waiting(*parts, request=None):
    return prompt(*parts, begun=False, request=request)


def a_crash(*prompts, server_id='', started_ms=7):
    return crash.Crash(
        crash_id=server_process.ServerProcess(
            server_id or f'server-{next(crash_numbers)}', started_ms
        ),
        requests=(),
        prompts=prompts,
    )


def refused_after(*crashes):
    """Return what is refused after crashes at intervals of a second."""
    parts = crashing_parts.CrashingParts()
    for number, report in enumerate(crashes):
        parts.record_crash(report, number)
    parts.update(len(crashes) + DUE_S)
    return parts.refused()


@pytest.mark.parametrize(
    ('crashes', 'refused'),
    [
        pytest.param([], set(), id='none'),
        pytest.param(
            [a_crash(prompt(FIRST, BAD)) for _ in range(2)],
            set(),
            id='too few crashes',
        ),
        pytest.param(
            [a_crash(prompt(FIRST, BAD)) for _ in range(3)],
            {BAD},
            id='the part further back goes before the one that all share',
        ),
        pytest.param(
            [a_crash(prompt(BAD, f'p{number}')) for number in range(3)],
            {BAD},
            id='a first part with various others',
        ),
        pytest.param(
            [
                a_crash(prompt(FIRST, BAD), waiting(FIRST, 'common'))
                for _ in range(4)
            ],
            {BAD},
            id='prompts that waited are no suspects beside one that began',
        ),
        pytest.param(
            [
                a_crash(waiting(FIRST, BAD), waiting(FIRST, f'p{number}'))
                for number in range(3)
            ],
            {BAD},
            id='prompts that waited are suspects if none began',
        ),
        pytest.param(
            [a_crash(prompt(FIRST, BAD), server_id='same') for _ in range(5)],
            set(),
            id='several reports of one crash',
        ),
        pytest.param(
            [
                a_crash(prompt(BAD), server_id='same', started_ms=number)
                for number in range(3)
            ],
            {BAD},
            id='a server that starts again under its id',
        ),
        pytest.param(
            [a_crash(prompt(FIRST, part)) for part in 'aaabbb'],
            {'a', 'b'},
            id='two parts at once',
        ),
        pytest.param(
            [a_crash(prompt(FIRST, f'p{number}')) for number in range(6)],
            {FIRST},
            id='what all crashes share',
        ),
        pytest.param([a_crash() for _ in range(5)], set(), id='no prompts'),
        pytest.param(
            [
                a_crash(*(prompt(FIRST, part) for part in 'abcdef'))
                for _ in range(3)
            ],
            set('abcdef'),
            id='parts that the crashes do not tell apart',
        ),
        pytest.param(
            [a_crash(prompt(FIRST, 'sound', request=1)) for _ in range(5)],
            set(),
            id='one request that its caller sends again',
        ),
        pytest.param(
            [
                *(a_crash(prompt(FIRST, 'sound', request=1)) for _ in range(4)),
                a_crash(waiting(FIRST, 'sound')),
            ],
            set(),
            id='one request, and a crash of another cause',
        ),
        pytest.param(
            [
                a_crash(prompt(FIRST, 'sound', request=1), prompt('sound'))
                for _ in range(4)
            ],
            set(),
            id='one request beside others with its part',
        ),
        pytest.param(
            [
                a_crash(prompt(FIRST, BAD, request=request))
                for request in (1, 1, 2, 2)
            ],
            {BAD},
            id='requests that are sent to two servers each',
        ),
        pytest.param(
            [
                a_crash(prompt(FIRST, BAD, request=request))
                for request in (1, 1, 2)
            ],
            set(),
            id='too few crashes without one of the requests',
        ),
    ],
)
def test_parts_that_crashes_have_in_common(crashes, refused):
    assert refused_after(*crashes) == refused


def test_reports_of_a_crash_may_arrive_for_a_while():
    parts = crashing_parts.CrashingParts()
    for number in range(3):
        parts.record_crash(
            a_crash(waiting(FIRST, 'innocent'), server_id=f's{number}'), 0.0
        )
    assert not parts.update(DUE_S - 0.1)
    for number in range(3):
        parts.record_crash(
            a_crash(prompt(FIRST, BAD), server_id=f's{number}'), DUE_S - 0.05
        )
    assert parts.update(DUE_S) == (BAD,)


@pytest.mark.parametrize(
    ('answered_after', 'refused'),
    [(0, {BAD}), (1, {BAD}), (2, set()), (3, set())],
)
def test_an_answer_discards_the_crashes_before_it(answered_after, refused):
    """With five crashes, at least three must follow the last answer."""
    parts = crashing_parts.CrashingParts()
    for number in range(5):
        if number == answered_after + 1:
            parts.record_answer((BAD,), number - 0.5)
        parts.record_crash(a_crash(prompt(BAD)), number)
    parts.update(9.0)
    expected = refused if answered_after < 3 else set()
    assert parts.refused() == expected


def test_an_answer_clears_a_part_that_was_refused_in_error():
    parts = crashing_parts.CrashingParts()
    for number in range(3):
        parts.record_crash(a_crash(prompt(BAD)), number)
    assert parts.update(9.0) == (BAD,)
    assert parts.refused_part((FIRST, BAD)) == BAD
    assert parts.record_answer((FIRST, BAD), 9.5) == (BAD,)
    assert parts.refused_part((FIRST, BAD)) is None
    assert not parts.update(20.0)


def test_only_suspicious_answers_are_told_to_other_instances():
    parts = crashing_parts.CrashingParts()
    assert not parts.record_answer((BAD,), 0.0)
    parts.record_crash(a_crash(prompt(BAD)), 1.0)
    assert not parts.record_answer((BAD,), 2.0)
    for at_s in (3.0, 4.0):
        parts.record_crash(a_crash(prompt(BAD)), at_s)
    assert parts.record_answer((BAD,), 5.0) == (BAD,)
    assert not parts.record_answer((BAD,), 6.0)


def test_a_cleared_part_is_not_taken_over_from_an_older_record():
    parts = crashing_parts.CrashingParts()
    assert parts.adopt(BAD, 0.0)
    assert not parts.adopt(BAD, 0.0)
    parts.clear((BAD,), 1.0)
    assert not parts.adopt(BAD, 2.0)
    assert parts.adopt(BAD, 1.0 + crash_causes.CLEARED_HOLD_S)


def test_crashes_are_bounded():
    parts = crashing_parts.CrashingParts()
    many = [
        prompt(f'p{number}')
        for number in range(crashing_parts.MAX_PROMPTS_PER_CRASH * 2)
    ]
    for _ in range(3):
        parts.record_crash(a_crash(*many, prompt(BAD)), 0.0)
    parts.update(DUE_S)
    assert len(parts.refused()) <= crashing_parts.MAX_PROMPTS_PER_CRASH


@pytest.mark.parametrize('seed', range(20))
def test_sound_parts_beside_a_crashing_one(seed):
    """Replay crashes under load: many sound prompts wait at each server."""
    rng = random.Random(seed)
    parts = crashing_parts.CrashingParts()
    sound = [f'p{number}' for number in range(12)]
    for number in range(5):
        waits = [
            waiting(FIRST, rng.choice(sound)) for _ in range(rng.randrange(30))
        ]
        begun = [prompt(FIRST, BAD)]
        if rng.random() < 0.3:
            begun.append(prompt(FIRST, rng.choice(sound)))
        parts.record_crash(a_crash(*waits, *begun), number * 0.2)
        parts.record_answer((FIRST, rng.choice(sound)), number * 0.2 + 0.1)
    parts.update(2.0)
    assert parts.refused() == {BAD}


@pytest.mark.parametrize(('answered_s', 'refused'), [(0.5, True), (9.0, False)])
def test_a_late_message_of_an_answer_discards_the_crashes_after_it(
    answered_s, refused
):
    parts = crashing_parts.CrashingParts()
    for number in range(crashing_parts.CRASHES_TO_REFUSE):
        parts.record_crash(a_crash(prompt(FIRST, BAD)), 1.0 + number)
    parts.update(5.0)
    assert parts.refused() == {BAD}
    parts.clear((BAD,), answered_s)
    parts.update(9.1)
    assert (BAD in parts.refused()) is refused


def test_an_answer_that_is_told_late_hides_a_newer_one():
    parts = crashing_parts.CrashingParts()
    parts.clear((BAD,), 5.0)
    parts.clear((BAD,), 0.5)
    for number in range(crashing_parts.CRASHES_TO_REFUSE):
        parts.record_crash(a_crash(prompt(FIRST, BAD)), 1.0 + number)
    parts.update(9.0)
    assert BAD not in parts.refused()
