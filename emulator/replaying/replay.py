"""Replay a trace against the running system."""

import asyncio

import msgspec

from emulator.replaying import (
    _engine_monitor,
    _event_injector,
    _replay_caller,
    policy_harness,
    policy_score,
    trace,
    trace_event,
)
from oatcrank import clock
from oatcrank.configuration import target
from oatcrank.settings import settings

SAMPLE_S = 1.0
MAX_SHOWN_FAILURES = 20
MS_PER_S = 1000

ACCEPTED_BY_EXPECTED_OUTCOME = {
    trace_event.ExpectedOutcome.answered: {
        _replay_caller.ActualOutcome.answered
    },
    trace_event.ExpectedOutcome.answered_or_not_run: {
        _replay_caller.ActualOutcome.answered,
        _replay_caller.ActualOutcome.not_run,
    },
    trace_event.ExpectedOutcome.answered_or_refused: {
        _replay_caller.ActualOutcome.answered,
        _replay_caller.ActualOutcome.not_run,
        _replay_caller.ActualOutcome.may_have_run,
    },
}


class ReplayReport(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of a replay and the outcomes that differ from the stated ones.

    shown lists the first of the not_as_stated failures.
    """

    site: str
    pattern: str = msgspec.field(name='spell')
    speed: float
    stated_attainment: float
    figures: policy_score.Summary
    not_as_stated: int
    shown: tuple[str, ...]
    unread_reports: int

    @property
    def passed(self) -> bool:
        """Return whether all outcomes and the attainment are as stated."""
        attained = self.figures.attainment >= self.stated_attainment
        return attained and not self.not_as_stated


class Replay:
    """Send a trace's requests at their times and measure their results."""

    def __init__(
        self,
        recorded_trace: trace.Trace,
        instance_settings: settings.Settings,
        *,
        speed: float,
    ) -> None:
        """Replay at a speed in seconds of the trace per second."""
        self._trace = recorded_trace
        self._speed = speed
        self._clock = clock.MonotonicClock()
        self._caller = _replay_caller.ReplayCaller(instance_settings.address)
        self._monitor = _engine_monitor.EngineMonitor(
            instance_settings.platform
        )
        self._injector = _event_injector.EventInjector(
            instance_settings, self._monitor
        )
        self._score = policy_score.Score()
        self._failures: list[str] = []
        self._targets_by_profile = {
            served.name: served.targets
            for served in recorded_trace.header.profiles
        }
        self.samples: list[policy_harness.Sample] = []

    async def run(self) -> ReplayReport:
        """Replay the whole trace and wait for the last answer."""
        start_s = self._clock.now()
        self._monitor.counted_until_s = (
            start_s + self._trace.header.seconds / self._speed
        )
        await self._monitor.read()
        background_tasks = [
            asyncio.create_task(self._monitor.run()),
            asyncio.create_task(self._sample(start_s)),
        ]
        async with asyncio.TaskGroup() as group:
            await self._send_all(start_s, group)
        for task in background_tasks:
            task.cancel()
        await asyncio.gather(*background_tasks, return_exceptions=True)
        self._caller.close()
        self._injector.close()
        self._monitor.close()
        return self._report()

    async def _send_all(
        self,
        start_s: float,
        group: asyncio.TaskGroup,
    ) -> None:
        timed_lines: list[trace_event.Arrival | trace_event.Event] = [
            *self._trace.arrivals,
            *self._trace.events,
        ]
        timed_lines.sort(key=lambda line: line.at)
        for number, line in enumerate(timed_lines):
            delay_s = start_s + line.at / self._speed - self._clock.now()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            if isinstance(line, trace_event.Arrival):
                group.create_task(self._send(line, number))
            else:
                group.create_task(self._inject(line))

    async def _send(self, arrival: trace_event.Arrival, number: int) -> None:
        for tally in self._score.tallies(arrival.profile, arrival.model):
            tally.arrived += 1
        result = await self._caller.send(arrival, number)
        self._record_result(result)

    async def _inject(self, event: trace_event.Event) -> None:
        error_text = await self._injector.inject(event)
        if error_text:
            self._failures.append(error_text)

    def _record_result(self, result: _replay_caller.RequestResult) -> None:
        arrival = result.arrival
        if result.outcome not in ACCEPTED_BY_EXPECTED_OUTCOME[arrival.outcome]:
            self._failures.append(
                f'{arrival.model} at {arrival.at} s: expected'
                f' {arrival.outcome.value}, got {result.outcome.value}'
                f' {result.code}{result.error_text}',
            )
        if result.code:
            self._score.refusals_by_code[result.code] += 1
        self._record_times(result.token_times)
        answered = result.outcome is _replay_caller.ActualOutcome.answered
        met = answered and _meets_targets(
            result,
            self._targets_by_profile[arrival.profile],
        )
        for tally in self._score.tallies(arrival.profile, arrival.model):
            tally.answered += answered
            tally.refused += bool(result.code)
            tally.met += met

    def _record_times(self, times: tuple[float, ...]) -> None:
        for index, at_s in enumerate(times):
            if index:
                gap_s = at_s - times[index - 1]
                policy_score.record_duration(self._score.between_tokens, gap_s)
            else:
                policy_score.record_duration(self._score.first_token, at_s)

    async def _sample(self, start_s: float) -> None:
        while True:
            self.samples.append(
                policy_harness.Sample(
                    at_s=self._clock.now() - start_s,
                    arrived=self._score.whole.arrived,
                    met=self._score.whole.met,
                    used_servers=self._monitor.used_servers,
                    moves=(
                        self._monitor.moves_by_kind['load']
                        + self._monitor.moves_by_kind['unload']
                    ),
                ),
            )
            await asyncio.sleep(SAMPLE_S)

    def _report(self) -> ReplayReport:
        self._score.moves_by_kind.update(self._monitor.moves_by_kind)
        self._score.used_server_s = self._monitor.used_server_s
        self._score.seconds = self._monitor.seconds
        header = self._trace.header
        return ReplayReport(
            site=header.site,
            pattern=header.pattern,
            speed=self._speed,
            stated_attainment=header.stated_attainment,
            figures=self._score.summary(),
            not_as_stated=len(self._failures),
            shown=tuple(self._failures[:MAX_SHOWN_FAILURES]),
            unread_reports=self._monitor.failed_reads,
        )


def _meets_targets(
    result: _replay_caller.RequestResult,
    targets: target.Targets,
) -> bool:
    times = result.token_times
    mean_s = (times[-1] - times[0]) / max(1, len(times) - 1)
    return (
        times[0] * MS_PER_S <= targets.first_token_ms
        and mean_s * MS_PER_S <= targets.between_tokens_ms
        and result.whole_s * MS_PER_S <= targets.whole_answer_ms
    )
