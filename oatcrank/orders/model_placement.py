"""Decide which server loads a model, and which models it evicts.

Places models that no server holds and adds replicas of models in high demand.
Each load goes to the server after which the most requests per second are on
time.
"""

import functools
import math
from collections.abc import Collection, Sequence

import msgspec

from oatcrank import ids
from oatcrank.orders import demand, demand_distribution, server_state, usage
from oatcrank.routing import need, route

# Models are kept at least this long, so that two don't evict each other.
MIN_RESIDENCE_S = 2.0
# A model is evicted only for demand of at least this many times its own.
EVICTION_DEMAND_RATIO = 1.3
# Value of a last replica beyond its demand, in requests per second.
LAST_REPLICA_RATE = 0.05
# Share of a model's demand that is late while it is repeatedly reloaded: a base
# share for a quick load, and more for each second that a load takes.
QUICK_RELOAD_SHARE = 0.5
RELOAD_SHARE_PER_S = 0.2
# Time for which a load's gain lasts; a longer load uses up more of it.
GAIN_DURATION_S = 10.0
# Value of a second replica in case that the first is lost: a share of the
# model's demand for each second that a load takes.
SECOND_REPLICA_PER_S = 0.01
# Value added for each time that a model could not be placed, in requests/s.
DENIAL_RATE = 0.1
# Smaller gains, in requests per second, are not worth an order.
MIN_GAIN_RATE = 0.1
# Models that are considered for one more replica, by their late requests.
MAX_CANDIDATES = 4
# A server takes no adapter while it loads a model.  This is the lost share of
# its requests for adapters, per second of the load.
BLOCKED_ADAPTER_SHARE = 0.02
# Nothing is evicted before demand has been measured for this long, because a
# shorter measurement says too little about it.
MIN_DEMAND_AGE_S = 2.0
# Below this demand, in requests per second, a model has few waiting requests.
IDLE_RATE = 0.5
NO_SERVERS: frozenset[ids.ServerId] = frozenset()
# Duration of an unload, without its wait for runs to end.
UNLOAD_S = 0.1
# Upper limit of the estimated wait of an unload for runs to end.
MAX_RUN_WAIT_S = 4.0
# Cost of one second of loading, in requests per second.
LOADING_COST_RATE = 0.15


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """A server, the models it unloads first, and the duration of the load."""

    model: ids.ModelName
    server_id: ids.ServerId
    unload: tuple[ids.ModelName, ...]
    load_s: float
    from_store: bool


class _Option(msgspec.Struct, frozen=True, kw_only=True):
    """A choice with its gain, loss and cost, in requests per second."""

    choice: Choice
    gained: float
    lost: float
    cost: float

    @property
    def net(self) -> float:
        return self.gained - self.lost - self.cost


class ModelPlacement:
    """Choose among one service's servers by their state and its demand."""

    def __init__(
        self,
        server_states: Collection[server_state.ServerState],
        engine: route.Engine,
        recent_usage: usage.Usage,
        service: ids.ServiceName,
        now_s: float,
        *,
        crowded: frozenset[ids.ServerId] = NO_SERVERS,
        reports_complete: bool = True,
    ) -> None:
        """Consider the servers of a service as of now_s.

        Requests wait at crowded servers, and an unload would reject them.
        Nothing is evicted unless all instances have reported their runs.
        """
        self._crowded = crowded
        self._reports_complete = reports_complete
        self._server_states = server_states
        self._engine = engine
        self._demand = recent_usage.demand
        self._runs = recent_usage.runs
        self._service = service
        self._now_s = now_s

    def demand_for(self, name: ids.ModelName) -> demand.ModelDemand:
        """Return the demand for a model."""
        return self._distribution.demand_for(name)

    def replicas(self, name: ids.ModelName) -> int:
        """Return how many servers hold a model or are about to."""
        return self._distribution.replicas(name)

    def choose_first_replica(
        self,
        name: ids.ModelName,
        *,
        allow_store_load: bool,
        denied: int = 0,
    ) -> Choice | None:
        """Return where to load a model that callers wait for, if possible.

        Its whole demand counts as gain, since none of it is served now.  The
        gain grows with the number of times that placement was denied.
        """
        gained = (
            LAST_REPLICA_RATE
            + self.demand_for(name).rate
            + DENIAL_RATE * denied
        )
        options = [
            option
            for option in self._options(name, allow_store_load=allow_store_load)
            if not option.choice.unload
            or option.lost * EVICTION_DEMAND_RATIO + option.cost <= gained
        ]
        return _best(options)

    def choose_extra_replica(self, *, allow_store_load: bool) -> Choice | None:
        """Return the load of one more replica with the largest gain, if any."""
        by_benefit = sorted(
            self._engine.model_by_name,
            key=self._replica_benefit,
            reverse=True,
        )
        options = [
            option
            for name in by_benefit[:MAX_CANDIDATES]
            if 0 < self._distribution.replicas(name) < len(self._server_states)
            for option in self._options(name, allow_store_load=allow_store_load)
            if option.net > MIN_GAIN_RATE
        ]
        return _best(options)

    @functools.cached_property
    def _distribution(self) -> demand_distribution.DemandDistribution:
        holders_by_model: dict[ids.ModelName, list[ids.ServerId]] = {}
        load_by_id: dict[ids.ServerId, demand_distribution.ServerLoad] = {}
        for state in self._server_states:
            server_id = state.registration.server_id
            load_by_id[server_id] = demand_distribution.ServerLoad(
                slots=max(1, state.registration.slots),
                adapter_slots=self._engine.max_adapters,
            )
            for model in state.planned_models():
                holders_by_model.setdefault(model, []).append(server_id)
        return demand_distribution.distribute(
            load_by_id, holders_by_model, self._demand_by_model()
        )

    def _demand_by_model(self) -> dict[ids.ModelName, demand.ModelDemand]:
        running = self._runs.by_model(self._service, self._now_s)
        measured = self._demand.by_model(self._service, self._now_s)
        return {
            model: model_demand.with_running(running[model])
            for model, model_demand in measured.items()
        }

    def _replica_benefit(self, name: ids.ModelName) -> float:
        """Return the requests per second that one more replica may help."""
        late = self._distribution.late_rate(name)
        if self._distribution.replicas(name) == 1:
            late += self._second_replica_value(name)
        return late

    def _options(
        self,
        name: ids.ModelName,
        *,
        allow_store_load: bool,
    ) -> list[_Option]:
        new_model = self._engine.model_by_name.get(name)
        if new_model is None:
            return []
        return [
            option
            for state in self._server_states
            if self._may_load(state, name, allow_store_load=allow_store_load)
            for option in self._options_at(state, new_model)
        ]

    def _may_load(
        self,
        state: server_state.ServerState,
        name: ids.ModelName,
        *,
        allow_store_load: bool,
    ) -> bool:
        if not state.ready(self._now_s) or name in state.adapters_by_model:
            return False
        return allow_store_load or state.is_cached(name)

    def _options_at(
        self, state: server_state.ServerState, new_model: route.Model
    ) -> list[_Option]:
        """Return the option to load a model at a server, if it fits."""
        victims = self._victims(state, new_model)
        if victims is None:
            return []
        server_id = state.registration.server_id
        distribution = self._distribution
        lost = float(0)
        load_s = state.load_s(new_model)
        for victim in victims:
            lost += self._loss(distribution, victim, server_id)
            load_s += self._unload_s(victim, server_id)
            distribution = distribution.without_replica(victim, server_id)
        gained = distribution.gain(new_model.name, server_id)
        if distribution.replicas(new_model.name) == 1:
            gained += self._second_replica_value(new_model.name)
        blocked_rate = BLOCKED_ADAPTER_SHARE * self._adapter_rate(state)
        choice = Choice(
            model=new_model.name,
            server_id=server_id,
            unload=tuple(victims),
            load_s=load_s,
            from_store=not state.is_cached(new_model.name),
        )
        return [
            _Option(
                choice=choice,
                gained=gained,
                lost=lost,
                cost=(LOADING_COST_RATE + blocked_rate) * load_s
                + gained * load_s / GAIN_DURATION_S,
            ),
        ]

    def _victims(
        self,
        state: server_state.ServerState,
        new_model: route.Model,
    ) -> Sequence[ids.ModelName] | None:
        """Return the models to evict, or None if that frees too little."""
        missing_mb = new_model.weights_mb - state.free_mb(self._engine)
        victims: list[ids.ModelName] = []
        if missing_mb <= 0:
            return victims
        insufficient = self._demand.coverage_s(self._now_s) < MIN_DEMAND_AGE_S
        if insufficient or not self._reports_complete:
            return None
        server_id = state.registration.server_id
        by_cost = sorted(
            state.adapters_by_model,
            key=lambda model: self._unload_cost(model, server_id),
        )
        for model in by_cost:
            if not self._may_evict(state, model):
                continue
            victims.append(model)
            missing_mb -= server_state.weights_mb(self._engine, model)
            if missing_mb <= 0:
                return victims
        return None

    def _unload_cost(
        self,
        model: ids.ModelName,
        server_id: ids.ServerId,
    ) -> float:
        """Return the cost of an unload, including its wait."""
        wait_cost = LOADING_COST_RATE * self._unload_s(model, server_id)
        return self._loss(self._distribution, model, server_id) + wait_cost

    def _may_evict(
        self, state: server_state.ServerState, model: ids.ModelName
    ) -> bool:
        if self._now_s - state.last_load_s(model) < MIN_RESIDENCE_S:
            return False
        crowded = state.registration.server_id in self._crowded
        return not crowded or self.demand_for(model).rate <= IDLE_RATE

    def _loss(
        self,
        distribution: demand_distribution.DemandDistribution,
        model: ids.ModelName,
        server_id: ids.ServerId,
    ) -> float:
        """Return the requests per second that a replica's unload loses."""
        replicas = distribution.replicas(model)
        if replicas <= 1:
            share = self._reload_share(model)
            return (
                share * distribution.demand_for(model).rate + LAST_REPLICA_RATE
            )
        lost = distribution.loss(model, server_id)
        if replicas == 2:
            lost += self._second_replica_value(model)
        return lost

    def _reload_share(self, name: ids.ModelName) -> float:
        load_s = self._store_load_s(name)
        return min(1, QUICK_RELOAD_SHARE + RELOAD_SHARE_PER_S * load_s)

    def _second_replica_value(self, name: ids.ModelName) -> float:
        """Return the value of a second replica, in requests per second."""
        value_share = SECOND_REPLICA_PER_S * self._store_load_s(name)
        return self.demand_for(name).rate * value_share

    def _store_load_s(self, name: ids.ModelName) -> float:
        model = self._engine.model_by_name.get(name)
        return 0 if model is None else model.store_load_s

    def _unload_s(
        self,
        victim: ids.ModelName,
        server_id: ids.ServerId,
    ) -> float:
        """Return the estimated duration of an unload, including its wait."""
        victim_demand = self.demand_for(victim)
        running = self._runs.count(
            server_id,
            need.Need(self._service, victim),
            self._now_s,
        )
        if not running or not victim_demand.rate:
            return UNLOAD_S
        mean_s = victim_demand.running / victim_demand.rate
        return UNLOAD_S + min(
            MAX_RUN_WAIT_S,
            mean_s * (1 + math.log(running)),
        )

    def _adapter_rate(self, state: server_state.ServerState) -> float:
        """Return the requests per second for the adapters of a server."""
        return self._demand.total_rate(
            self._service,
            state.adapters_by_model,
            self._now_s,
        )


def _best(options: Collection[_Option]) -> Choice | None:
    if not options:
        return None
    return max(options, key=lambda option: option.net).choice
