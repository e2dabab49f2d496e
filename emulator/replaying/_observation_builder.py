"""Build the observations that placement policies decide from."""

import collections

from emulator.replaying import (
    _fake_fleet,
    _fake_queues,
    _fake_request,
    _fake_store,
    trace_header,
)
from oatcrank import ids
from oatcrank.placing import placement

INITIAL_SERVICE_S = 2.0
SMOOTHING = 0.05


class ObservationBuilder:
    """Count a round's arrivals and estimate service times for observations.

    Service times are exponential moving averages over the arrivals.
    """

    def __init__(self, header: trace_header.TraceHeader) -> None:
        """Start without arrivals."""
        self._header = header
        self._round_start_s: float = 0
        self._arrivals_by_model: collections.Counter[ids.ModelName] = (
            collections.Counter()
        )
        self._mean_service_s_by_model = {
            model.name: INITIAL_SERVICE_S for model in header.models
        }
        self._first_token_s = min(
            profile.targets.first_token_ms / _fake_request.MS_PER_S
            for profile in header.profiles
        )

    def record_arrival(self, request: _fake_request.FakeRequest) -> None:
        """Count an arrival."""
        model = request.arrival.model
        mean_s = self._mean_service_s_by_model[model]
        change_s = SMOOTHING * (request.service_s - mean_s)
        self._mean_service_s_by_model[model] = mean_s + change_s
        self._arrivals_by_model[model] += 1

    def mean_service_s(self, model: ids.ModelName) -> float:
        """Return the mean service time of a model's requests."""
        return self._mean_service_s_by_model[model]

    def observe(
        self,
        now: float,
        pool: ids.PoolName,
        fleet: _fake_fleet.FakeFleet,
        queues: _fake_queues.FakeQueues,
        store: _fake_store.FakeStore,
    ) -> placement.Observation:
        """Return one pool's observation of the current round."""
        models = [model for model in self._header.models if model.pool == pool]
        waiting = {model.name: queues.waiting(model.name) for model in models}
        return placement.Observation(
            now_s=now,
            since_s=self._round_start_s,
            load_slots=store.free_load_slots,
            load_s=self._header.store.load_s,
            servers=tuple(
                server.view(waiting) for server in fleet.servers_by_pool[pool]
            ),
            models=tuple(
                self._model_view(model, waiting[model.name], fleet)
                for model in models
            ),
        )

    def end_round(self, now: float) -> None:
        """Start counting arrivals for the next round."""
        self._round_start_s = now
        self._arrivals_by_model.clear()

    def _model_view(
        self,
        model: trace_header.TraceModel,
        waiting: int,
        fleet: _fake_fleet.FakeFleet,
    ) -> placement.ModelView:
        return placement.ModelView(
            model=model.name,
            memory_mb=model.memory_mb,
            arrivals=self._arrivals_by_model[model.name],
            waiting=waiting,
            running=sum(
                server.replica_by_model[model.name].running
                for server in fleet.holders(model.name)
            ),
            service_s=self._mean_service_s_by_model[model.name],
            first_token_s=self._first_token_s,
        )
