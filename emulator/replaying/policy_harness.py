"""Replay a trace's demand on simulated servers, in simulated time."""

import functools
from collections.abc import Iterator

import msgspec

from emulator.replaying import (
    _fake_fleet,
    _fake_request,
    _fake_store,
    _harness_service,
    _harness_timeline,
    _move_executor,
    _observation_builder,
    policy_score,
    trace,
)
from oatcrank import ids
from oatcrank.entry import admission
from oatcrank.placing import placement

ROUND_S = 0.25
DRAIN_LIMIT_S = 60.0

PolicyByPool = dict[ids.PoolName, placement.PlacementPolicy]


class Sample(msgspec.Struct, frozen=True, kw_only=True):
    """Cumulative figures of a replay at one time."""

    at_s: float
    arrived: int
    met: int
    used_servers: int
    moves: int


class PolicyHarness:
    """Drive placement policies with a trace; results are deterministic."""

    def __init__(
        self,
        recorded_trace: trace.Trace,
        policy_by_pool: PolicyByPool,
    ) -> None:
        """Start with empty servers at time 0."""
        self._trace = recorded_trace
        self._policy_by_pool = policy_by_pool
        self.score = policy_score.Score()
        self.samples: list[Sample] = []
        self._timeline = _harness_timeline.HarnessTimeline()
        self._fleet = _fake_fleet.FakeFleet(recorded_trace.header)
        self._store = _fake_store.FakeStore(recorded_trace.header.store)
        self._observations = _observation_builder.ObservationBuilder(
            recorded_trace.header
        )
        self._service = _harness_service.HarnessService(
            self._fleet,
            self._store,
            self._timeline,
            self.score,
        )
        self._executor = _move_executor.MoveExecutor(
            self._fleet,
            self._store,
            self._timeline,
            self.score,
            self._service.serve_model,
        )

    def run(self) -> policy_score.Score:
        """Replay the whole trace and return its figures."""
        self._schedule_arrival(_requests(self._trace))
        self._timeline.add(0, self._round)
        end_s = self._trace.header.seconds + DRAIN_LIMIT_S
        while self._timeline.next_s() <= end_s:
            self._count_server_time(self._timeline.next_s())
            self._timeline.step()
        self._service.expire(float('inf'))
        return self.score

    def _count_server_time(self, until_s: float) -> None:
        # Models held after the trace's end serve none of its arrivals.
        within_s = min(until_s, self._trace.header.seconds)
        elapsed_s = max(0, within_s - self._timeline.now())
        self.score.used_server_s += elapsed_s * self._fleet.used_servers
        self.score.seconds += elapsed_s

    def _schedule_arrival(
        self,
        requests: Iterator[_fake_request.FakeRequest],
    ) -> None:
        request = next(requests, None)
        if request is not None:
            self._timeline.add(
                request.arrival.at,
                functools.partial(self._submit, request, requests),
            )

    def _submit(
        self,
        request: _fake_request.FakeRequest,
        requests: Iterator[_fake_request.FakeRequest],
    ) -> None:
        self._observations.record_arrival(request)
        self._service.submit(request, self._estimate_timing(request))
        self._schedule_arrival(requests)

    def _estimate_timing(
        self,
        request: _fake_request.FakeRequest,
    ) -> admission.TimingEstimate:
        model = request.arrival.model
        waiting = self._service.queues.waiting(model)
        slots = self._fleet.expected_slots(model)
        start_s = waiting * self._observations.mean_service_s(model) / slots
        if not self._fleet.is_loaded(model):
            start_s += self._trace.header.store.load_s
        return admission.TimingEstimate(
            start_s=start_s,
            service_s=request.service_s,
            remaining_s=request.answer_timeout_s,
        )

    def _round(self) -> None:
        now = self._timeline.now()
        self._service.expire(now)
        if (
            now < self._trace.header.seconds
            or self._service.queues.total_waiting()
        ):
            self._decide(now)
        self._timeline.add(now + ROUND_S, self._round)
        self.samples.append(
            Sample(
                at_s=now,
                arrived=self.score.whole.arrived,
                met=self.score.whole.met,
                used_servers=self._fleet.used_servers,
                moves=self.score.moves,
            ),
        )

    def _decide(self, now: float) -> None:
        for pool, policy in self._policy_by_pool.items():
            observation = self._observations.observe(
                now,
                pool,
                self._fleet,
                self._service.queues,
                self._store,
            )
            self._executor.apply(policy.decide(observation))
        self._observations.end_round(now)


def _requests(
    recorded_trace: trace.Trace,
) -> Iterator[_fake_request.FakeRequest]:
    model_by_name = {
        model.name: model for model in recorded_trace.header.models
    }
    profile_by_name = {
        profile.name: profile for profile in recorded_trace.header.profiles
    }
    for arrival in recorded_trace.arrivals:
        yield _fake_request.FakeRequest(
            arrival,
            model_by_name[arrival.model],
            profile_by_name[arrival.profile],
        )
