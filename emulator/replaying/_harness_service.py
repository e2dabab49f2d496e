"""Queue, run and refuse simulated requests."""

import functools
import math

from emulator.replaying import (
    _fake_fleet,
    _fake_queues,
    _fake_request,
    _fake_server,
    _fake_store,
    _harness_timeline,
    policy_score,
)
from oatcrank import ids, refusal
from oatcrank.control import plan
from oatcrank.entry import admission

# An arrival within this time after a refusal continues the model's wait.
WAIT_CONTINUES_S = 10.0


class HarnessService:
    """Serve requests in the fleet's slots, the earliest deadline first."""

    def __init__(
        self,
        fleet: _fake_fleet.FakeFleet,
        store: _fake_store.FakeStore,
        timeline: _harness_timeline.HarnessTimeline,
        score: policy_score.Score,
    ) -> None:
        """Start without requests."""
        self.queues = _fake_queues.FakeQueues()
        self._fleet = fleet
        self._store = store
        self._timeline = timeline
        self._score = score
        self._waiting_since: dict[ids.ModelName, float] = {}
        self._refused_at: dict[ids.ModelName, float] = {}

    def submit(
        self,
        request: _fake_request.FakeRequest,
        estimate: admission.TimingEstimate,
    ) -> None:
        """Queue or start a request, or refuse it if it can't end in time."""
        arrival = request.arrival
        for tally in self._score.tallies(arrival.profile, arrival.model):
            tally.arrived += 1
        self._record_wait_start(arrival.model)
        if admission.retry_after_s(estimate) is not None:
            self._refuse(request, refusal.Code.not_in_time)
        elif not self.queues.put(request):
            self._refuse(request, refusal.Code.overloaded)
        else:
            self.serve_model(arrival.model)

    def expire(self, now: float) -> None:
        """Refuse the waiting requests whose answer would be too late."""
        for request in self.queues.pop_expired(now):
            self._refuse(request, refusal.Code.not_in_time)

    def serve_model(self, model: ids.ModelName) -> None:
        """Start the requests that wait for a model while a slot is free."""
        while self.queues.waiting(model):
            server = self._fleet.choose_server(model)
            if server is None:
                return
            self._start_first(server, [model])

    def _record_wait_start(self, model: ids.ModelName) -> None:
        now = self._timeline.now()
        idle = not self.queues.waiting(model)
        last_refused_s = self._refused_at.get(model, -math.inf)
        if idle and now - last_refused_s > WAIT_CONTINUES_S:
            self._waiting_since[model] = now
        self._waiting_since.setdefault(model, now)

    def _serve_server(self, server: _fake_server.FakeServer) -> None:
        loaded_models = [
            replica.model
            for replica in server.replica_by_model.values()
            if replica.state is plan.ReplicaState.loaded
        ]
        while server.running < server.slots:
            if not self._start_first(server, loaded_models):
                return

    def _start_first(
        self,
        server: _fake_server.FakeServer,
        models: list[ids.ModelName],
    ) -> bool:
        request = self.queues.pop_first(models)
        if request is None:
            return False
        self._start(server, request)
        return True

    def _start(
        self,
        server: _fake_server.FakeServer,
        request: _fake_request.FakeRequest,
    ) -> None:
        arrival = request.arrival
        replica = server.replica_by_model[arrival.model]
        now = self._timeline.now()
        since_s = self._waiting_since.pop(arrival.model, now)
        self._score.record_wait(arrival.model, now - since_s)
        adapter_load_s = self._load_adapter(replica, arrival.adapter)
        server.running += 1
        replica.running += 1
        first_token_s = now - arrival.at + adapter_load_s + request.prefill_s
        policy_score.record_duration(self._score.first_token, first_token_s)
        policy_score.record_duration(
            self._score.between_tokens, request.between_tokens_s
        )
        self._timeline.add(
            now + adapter_load_s + request.service_s,
            functools.partial(self._end, server, request, first_token_s),
        )

    def _load_adapter(
        self,
        replica: _fake_server.FakeReplica,
        adapter: ids.AdapterName,
    ) -> float:
        if not adapter or adapter in replica.adapters:
            return 0
        replica.adapters.add(adapter)
        self._score.moves_by_kind['load_adapter'] += 1
        return self._store.start_adapter_load(self._timeline.now())

    def _end(
        self,
        server: _fake_server.FakeServer,
        request: _fake_request.FakeRequest,
        first_token_s: float,
    ) -> None:
        arrival = request.arrival
        server.running -= 1
        server.replica_by_model[arrival.model].running -= 1
        met = request.meets_targets(
            first_token_s, self._timeline.now() - arrival.at
        )
        for tally in self._score.tallies(arrival.profile, arrival.model):
            tally.answered += 1
            tally.met += met
        self._serve_server(server)

    def _refuse(
        self,
        request: _fake_request.FakeRequest,
        code: refusal.Code,
    ) -> None:
        arrival = request.arrival
        self._score.refusals_by_code[code.value] += 1
        now = self._timeline.now()
        self._refused_at[arrival.model] = now
        since_s = self._waiting_since.get(arrival.model, now)
        self._score.record_wait(arrival.model, now - since_s)
        for tally in self._score.tallies(arrival.profile, arrival.model):
            tally.refused += 1
