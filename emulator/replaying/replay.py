"""Replay a trace against the running system."""

import asyncio

import msgspec

from emulator.replaying import (
    _replay_caller,
    _replay_events,
    _replay_watch,
    policy_harness,
    policy_score,
    trace,
    trace_event,
)
from oatcrank import clock
from oatcrank.configuration import profile
from oatcrank.settings import settings

SAMPLE_S = 1.0
MOST_SHOWN = 20
MS_PER_S = 1000

ENDS_BY_OUTCOME = {
    trace_event.Outcome.answered: {_replay_caller.End.answered},
    trace_event.Outcome.settled: {
        _replay_caller.End.answered,
        _replay_caller.End.not_run,
    },
    trace_event.Outcome.told: {
        _replay_caller.End.answered,
        _replay_caller.End.not_run,
        _replay_caller.End.may_have_run,
    },
}


class ReplayReport(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a replay's figures, and what did not go as stated."""

    site: str
    spell: str
    speed: float
    stated_attainment: float
    figures: policy_score.Summary
    not_as_stated: int
    shown: tuple[str, ...]
    unread_reports: int

    @property
    def held(self) -> bool:
        """Say whether all stated outcomes held."""
        enough = self.figures.attainment >= self.stated_attainment
        return enough and not self.not_as_stated


class Replay:
    """Send a trace's requests at their times and add up their ends."""

    def __init__(
        self,
        replayed: trace.Trace,
        known: settings.Settings,
        *,
        speed: float,
    ) -> None:
        """Speed is how many of the trace's seconds pass in one."""
        self._trace = replayed
        self._speed = speed
        self._clock = clock.MonotonicClock()
        self._caller = _replay_caller.ReplayCaller(known.address)
        self._watch = _replay_watch.ReplayWatch(known.platform)
        self._events = _replay_events.ReplayEvents(known, self._watch)
        self._score = policy_score.Score()
        self._faults: list[str] = []
        self._profile_by_name = {
            asked.name: asked for asked in replayed.head.profiles
        }
        self.samples: list[policy_harness.Sample] = []

    async def run(self) -> ReplayReport:
        """Replay the whole trace and wait for the last answer."""
        start_s = self._clock.now()
        self._watch.counted_until_s = (
            start_s + self._trace.head.seconds / self._speed
        )
        await self._watch.read()
        beside = [
            asyncio.create_task(self._watch.run()),
            asyncio.create_task(self._sample(start_s)),
        ]
        async with asyncio.TaskGroup() as group:
            await self._send_all(start_s, group)
        for task in beside:
            task.cancel()
        await asyncio.gather(*beside, return_exceptions=True)
        self._caller.close()
        self._events.close()
        self._watch.close()
        return self._report()

    async def _send_all(
        self,
        start_s: float,
        group: asyncio.TaskGroup,
    ) -> None:
        timed: list[trace_event.Arrival | trace_event.Event] = [
            *self._trace.arrivals,
            *self._trace.events,
        ]
        timed.sort(key=lambda line: line.at)
        for number, line in enumerate(timed):
            ahead_s = start_s + line.at / self._speed - self._clock.now()
            if ahead_s > 0:
                await asyncio.sleep(ahead_s)
            if isinstance(line, trace_event.Arrival):
                group.create_task(self._send(line, number))
            else:
                group.create_task(self._bring_about(line))

    async def _send(self, arrival: trace_event.Arrival, number: int) -> None:
        for tally in self._score.tallies(arrival.profile, arrival.model):
            tally.arrived += 1
        ended = await self._caller.send(arrival, number)
        self._add(ended)

    async def _bring_about(self, event: trace_event.Event) -> None:
        fault = await self._events.bring_about(event)
        if fault:
            self._faults.append(fault)

    def _add(self, ended: _replay_caller.Result) -> None:
        arrival = ended.arrival
        if ended.end not in ENDS_BY_OUTCOME[arrival.outcome]:
            self._faults.append(
                f'{arrival.model} at {arrival.at} s: stated'
                f' {arrival.outcome.value}, was {ended.end.value}'
                f' {ended.code}{ended.fault}',
            )
        if ended.code:
            self._score.refusals_by_code[ended.code] += 1
        self._record_times(ended.token_times)
        answered = ended.end is _replay_caller.End.answered
        met = answered and _meets(
            ended,
            self._profile_by_name[arrival.profile],
        )
        for tally in self._score.tallies(arrival.profile, arrival.model):
            tally.answered += answered
            tally.refused += bool(ended.code)
            tally.met += met

    def _record_times(self, times: tuple[float, ...]) -> None:
        for index, at_s in enumerate(times):
            if index:
                gap_s = at_s - times[index - 1]
                policy_score.record_s(self._score.between_tokens, gap_s)
            else:
                policy_score.record_s(self._score.first_token, at_s)

    async def _sample(self, start_s: float) -> None:
        while True:
            self.samples.append(
                policy_harness.Sample(
                    at_s=self._clock.now() - start_s,
                    arrived=self._score.whole.arrived,
                    met=self._score.whole.met,
                    used=self._watch.used,
                    moves=(
                        self._watch.moves_by_kind['load']
                        + self._watch.moves_by_kind['unload']
                    ),
                ),
            )
            await asyncio.sleep(SAMPLE_S)

    def _report(self) -> ReplayReport:
        self._score.moves_by_kind.update(self._watch.moves_by_kind)
        self._score.held_server_s = self._watch.held_server_s
        self._score.seconds = self._watch.seconds
        head = self._trace.head
        return ReplayReport(
            site=head.site,
            spell=head.spell,
            speed=self._speed,
            stated_attainment=head.stated_attainment,
            figures=self._score.summary(),
            not_as_stated=len(self._faults),
            shown=tuple(self._faults[:MOST_SHOWN]),
            unread_reports=self._watch.unread,
        )


def _meets(ended: _replay_caller.Result, asked: profile.Profile) -> bool:
    times = ended.token_times
    targets = asked.targets
    mean_s = (times[-1] - times[0]) / max(1, len(times) - 1)
    return (
        times[0] * MS_PER_S <= targets.first_token_ms
        and mean_s * MS_PER_S <= targets.between_tokens_ms
        and ended.whole_s * MS_PER_S <= targets.whole_answer_ms
    )
