"""Sum the demand that entry instances report."""

import collections
from collections.abc import Callable, Mapping

from oatcrank import clock, ids
from oatcrank.control import demand_report, model_need
from oatcrank.placing import placement

SILENT_S = 4.0
SERVICE_S_GUESS = 1.0

Needs = Mapping[ids.ModelName, model_need.ModelNeed]


class DemandBoard:
    """Keep each instance's last report and all arrivals not yet read."""

    def __init__(
        self,
        ticker: clock.Clock,
        *,
        first_token_s: Callable[[ids.ModelName], float],
        weight: Callable[[ids.ModelName], float],
    ) -> None:
        """Take targets and weights of models from the profiles in force."""
        self._clock = ticker
        self._first_token_s = first_token_s
        self._weight = weight
        self._arrivals: collections.Counter[ids.ModelName] = (
            collections.Counter()
        )
        self._last: dict[
            ids.InstanceId,
            dict[ids.ModelName, demand_report.ModelDemand],
        ] = {}
        self._heard_at: dict[ids.InstanceId, float] = {}
        self._read_at = ticker.now()

    def take(self, report: demand_report.DemandReport) -> None:
        """Take one instance's report."""
        now = self._clock.now()
        if now - self._read_at > SILENT_S:
            # Nobody controls from here: old arrivals would look like a burst.
            self._arrivals.clear()
        self._heard_at[report.instance_id] = now
        self._last[report.instance_id] = {
            one.model: one for one in report.models
        }
        for one in report.models:
            self._arrivals[one.model] += one.arrivals

    def read(self, needs: Needs) -> tuple[placement.ModelView, ...]:
        """Return a pool's models and start counting their arrivals anew."""
        self._read_at = self._clock.now()
        self._forget_silent()
        return tuple(self._view(need) for need in needs.values())

    def _view(self, need: model_need.ModelNeed) -> placement.ModelView:
        reported = [
            by_model[need.model]
            for by_model in self._last.values()
            if need.model in by_model
        ]
        service = [one.service_s for one in reported if one.service_s]
        return placement.ModelView(
            model=need.model,
            memory_mb=need.memory_mb,
            arrivals=self._arrivals.pop(need.model, 0),
            waiting=sum(one.waiting for one in reported),
            running=sum(one.running for one in reported),
            service_s=max(service, default=SERVICE_S_GUESS),
            first_token_s=self._first_token_s(need.model),
            weight=self._weight(need.model),
        )

    def _forget_silent(self) -> None:
        now = self._clock.now()
        for instance_id, heard_at in tuple(self._heard_at.items()):
            if now - heard_at > SILENT_S:
                self._heard_at.pop(instance_id)
                self._last.pop(instance_id)
