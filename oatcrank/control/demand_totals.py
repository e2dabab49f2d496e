"""Aggregate the demand that entry instances report."""

import collections
from collections.abc import Callable, Mapping

from oatcrank import clock, ids
from oatcrank.control import demand_report, model_need
from oatcrank.placing import placement

REPORT_EXPIRY_S = 4.0
DEFAULT_SERVICE_S = 1.0

NeedByModel = Mapping[ids.ModelName, model_need.ModelNeed]


class DemandTotals:
    """Keep each instance's last report and the arrivals not yet read."""

    def __init__(
        self,
        clock: clock.Clock,
        *,
        first_token_s: Callable[[ids.ModelName], float],
        weight: Callable[[ids.ModelName], float],
    ) -> None:
        """Read the targets and weights of models from the profiles in force."""
        self._clock = clock
        self._first_token_s = first_token_s
        self._weight = weight
        self._arrivals: collections.Counter[ids.ModelName] = (
            collections.Counter()
        )
        self._demand_by_instance: dict[
            ids.InstanceId,
            dict[ids.ModelName, demand_report.ModelDemand],
        ] = {}
        self._received_at: dict[ids.InstanceId, float] = {}
        self._read_at = clock.now()

    def add_report(self, report: demand_report.DemandReport) -> None:
        """Add one instance's report."""
        now = self._clock.now()
        if now - self._read_at > REPORT_EXPIRY_S:
            # No controller has read for a while; the arrivals that piled up
            # would look like a burst.
            self._arrivals.clear()
        self._received_at[report.instance_id] = now
        self._demand_by_instance[report.instance_id] = {
            demand.model: demand for demand in report.models
        }
        for demand in report.models:
            self._arrivals[demand.model] += demand.arrivals

    def take_demand(
        self, needs: NeedByModel
    ) -> tuple[placement.ModelView, ...]:
        """Return the demand of a pool's models and reset their arrivals."""
        self._read_at = self._clock.now()
        self._drop_expired()
        return tuple(self._view(need) for need in needs.values())

    def _view(self, need: model_need.ModelNeed) -> placement.ModelView:
        reported = [
            by_model[need.model]
            for by_model in self._demand_by_instance.values()
            if need.model in by_model
        ]
        service_times_s = [
            demand.service_s for demand in reported if demand.service_s
        ]
        return placement.ModelView(
            model=need.model,
            memory_mb=need.memory_mb,
            arrivals=self._arrivals.pop(need.model, 0),
            waiting=sum(demand.waiting for demand in reported),
            running=sum(demand.running for demand in reported),
            service_s=max(service_times_s, default=DEFAULT_SERVICE_S),
            first_token_s=self._first_token_s(need.model),
            weight=self._weight(need.model),
        )

    def _drop_expired(self) -> None:
        now = self._clock.now()
        for instance_id, received_at in tuple(self._received_at.items()):
            if now - received_at > REPORT_EXPIRY_S:
                self._received_at.pop(instance_id)
                self._demand_by_instance.pop(instance_id)
