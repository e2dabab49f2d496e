"""Simulate a server that reads prompts which arrive in bursts."""

import collections
import random

import msgspec
import pytest

from oatcrank.routing import prompt_schedule

STEP_S = 0.009
CHUNK_TOKENS = 2048
TOKENS_PER_EVENT = 6
GAP_TARGET_S = 0.15
FIRST_TARGET_S = 0.4
FIRST_S = 0.04
MAX_WAIT_S = 0.2
SECONDS = 120


class Prompt(msgspec.Struct):
    """A prompt and the stream that answers it."""

    asked_s: float
    sent_s: float
    left: float
    tokens_out: int
    done: int = 0
    last_event_s: float = 0
    first_s: float = 0
    longest_gap_s: float = 0


def prompt_of(tokens, *, required=True):
    return prompt_schedule.Prompt(
        tokens=tokens, max_wait_s=MAX_WAIT_S, required=required
    )


def prompts(rate, scheduled):
    """Return prompts at a rate per second, delayed by a schedule."""
    rng = random.Random(7)
    prompts_sent = []
    schedule = prompt_schedule.PromptSchedule()
    now_s = 0.0
    while now_s < SECONDS:
        now_s += rng.expovariate(rate)
        tokens = min(2300, int(rng.lognormvariate(5.8, 0.8)))
        wait_s = schedule.reserve(prompt_of(tokens), now_s) if scheduled else 0
        events = rng.choice((8, 30, 47, 60))
        prompts_sent.append(
            Prompt(now_s, now_s + wait_s, tokens, events * TOKENS_PER_EVENT),
        )
    return sorted(prompts_sent, key=lambda stream: stream.sent_s)


def step(now_s, reading, running):
    """Read a chunk of prompts, then generate a token of each stream."""
    budget = CHUNK_TOKENS
    begun = []
    while reading and budget > 0:
        part = min(budget, reading[0].left)
        reading[0].left -= part
        budget -= part
        if reading[0].left <= 0:
            begun.append(reading.popleft())
    read_s = (CHUNK_TOKENS - budget) / prompt_schedule.READ_TOKENS_PER_S
    ends_s = now_s + STEP_S + read_s
    for stream in running:
        stream.done += 1
        if stream.done % TOKENS_PER_EVENT == 0:
            gap_s = ends_s - stream.last_event_s
            stream.longest_gap_s = max(stream.longest_gap_s, gap_s)
            stream.last_event_s = ends_s
    for stream in begun:
        stream.first_s = ends_s
        stream.last_event_s = ends_s
    return ends_s, begun


def late_share(prompts_sent):
    """Return the share of streams that start late or pause too long."""
    waiting = collections.deque(prompts_sent)
    reading = collections.deque()
    running = []
    now_s = 0.0
    while waiting or reading or running:
        if not (reading or running):
            now_s = max(now_s, waiting[0].sent_s)
        while waiting and waiting[0].sent_s <= now_s:
            reading.append(waiting.popleft())
        now_s, begun = step(now_s, reading, running)
        running = [
            stream for stream in running if stream.done < stream.tokens_out
        ]
        running += begun
    late = [
        stream
        for stream in prompts_sent
        if stream.first_s + FIRST_S - stream.asked_s > FIRST_TARGET_S
        or stream.longest_gap_s > GAP_TARGET_S
    ]
    return len(late) / len(prompts_sent)


@pytest.mark.parametrize(
    ('rate', 'without_at_least', 'with_at_most'),
    [(10, 0.02, 0.01), (18, 0.15, 0.05), (24, 0.4, 0.1)],
)
def test_streams_pause_less_where_prompts_are_spaced(
    rate,
    without_at_least,
    with_at_most,
):
    assert late_share(prompts(rate, scheduled=False)) >= without_at_least
    assert late_share(prompts(rate, scheduled=True)) <= with_at_most


@pytest.mark.parametrize(
    ('tokens', 'waits'),
    [
        # A prompt of 380 tokens takes 10 ms to read, and takes a slot of 20 ms.
        ([380, 380, 380], [0, 0.02, 0.04]),
        ([1900, 380], [0, 0.1]),
        # Required prompts wait for their slot, up to a limit.
        ([1900, 7600, 380], [0, 0.1, 0.5]),
        ([76000, 380], [0, prompt_schedule.MAX_REQUIRED_WAIT_S]),
    ],
)
def test_prompts_wait_for_those_before(tokens, waits):
    schedule = prompt_schedule.PromptSchedule()
    waits_s = [schedule.reserve(prompt_of(count), 5.0) for count in tokens]
    assert waits_s == pytest.approx(waits)


def test_a_schedule_is_free_after_all_prompts_are_read():
    schedule = prompt_schedule.PromptSchedule()
    schedule.reserve(prompt_of(380), 5.0)
    assert not schedule.is_free(5.01)
    assert schedule.reserve(prompt_of(380), 5.03) == 0


def test_a_prompt_that_would_wait_too_long_takes_no_slot():
    schedule = prompt_schedule.PromptSchedule()
    schedule.reserve(prompt_of(38000), 5.0)
    for _ in range(3):
        wait_s = schedule.reserve(prompt_of(380, required=False), 5.0)
        assert wait_s == pytest.approx(2.0)
    assert schedule.reserve(prompt_of(380, required=False), 6.9) < MAX_WAIT_S


def test_under_overload_scheduled_prompts_are_on_time():
    """Prompts that can't begin in time take no slots from others."""
    schedule = prompt_schedule.PromptSchedule()
    rng = random.Random(3)
    now_s = 0.0
    waits = []
    for _ in range(4000):
        now_s += rng.expovariate(60)
        waits.append(schedule.reserve(prompt_of(565, required=False), now_s))
    begun = [wait_s for wait_s in waits if wait_s <= MAX_WAIT_S]
    # As many prompts as the server can read in its share of the time.
    max_prompts = (
        prompt_schedule.READ_TOKENS_PER_S
        * prompt_schedule.READ_TIME_SHARE
        * now_s
        / 565
    )
    assert len(begun) == pytest.approx(max_prompts, rel=0.05)


def test_simultaneous_callers_do_not_make_all_streams_pause():
    """After a restart of all instances, all callers reconnect at once."""
    together = [Prompt(0.0, 0.0, 565, 47 * TOKENS_PER_EVENT) for _ in range(40)]
    schedule = prompt_schedule.PromptSchedule()
    for stream in together:
        stream.sent_s = schedule.reserve(prompt_of(565), 0.0)
    late_share(together)
    gaps = [prompt.longest_gap_s for prompt in together]
    paused = [gap_s for gap_s in gaps if gap_s > GAP_TARGET_S]
    assert len(paused) < len(together) / 4


@pytest.mark.parametrize(
    ('tokens_per_s', 'wait_s'),
    [(38_000, 0.1), (190_000, 0.02)],
)
def test_a_faster_server_takes_prompts_sooner(tokens_per_s, wait_s):
    schedule = prompt_schedule.PromptSchedule(tokens_per_s)
    schedule.reserve(prompt_of(1900), 5.0)
    assert schedule.reserve(prompt_of(380), 5.0) == pytest.approx(wait_s)
