"""Decide which server loads a model, and what makes way.

Answers demand that moves to models that no server holds, rare models asked for
at once, and demand that gathers on a few models: a load goes where the most
requests a second are on time after it.
"""

import functools
import math
from collections.abc import Collection, Sequence

import msgspec

from oatcrank import ids
from oatcrank.orders import demand, demand_distribution, ledger, usage
from oatcrank.routing import need, route

# What was loaded this lately is kept, so that two models don't take turns.
RESIDENCE_S = 2.0
# A model makes way only for this many times its own demand.
DISPLACING_DEMAND = 1.3
# Requests a second that a last replica is worth beyond its demand.
LAST_REPLICA = 0.05
# The share of a model's demand that suffers where it is loaded again and again:
# that of a quick load, more for each second of it, up to all.
QUICK_RELOAD_SHARE = 0.5
RELOAD_SHARE_PER_S = 0.2
# How long what a load gains lasts: a later one gains for a shorter time.
GAIN_LASTS_S = 10.0
# The share of a model's demand that its second replica is worth for each second
# that a load takes: the first may be lost.
SECOND_REPLICA_PER_S = 0.01
# Requests a second that a model is worth more for each time it had no place.
DENIED = 0.1
# What gains less, in requests a second, is not worth an order.
LEAST_GAIN = 0.1
# Models that are weighed for one more replica at a time, the latest first.
MOST_CANDIDATES = 4
# A server takes no adapter while it loads a model: the share of a second's
# requests for adapters that is lost.
ADAPTERS_BLOCKED = 0.02
# Before demand has been counted this long, it says too little to unload by.
YOUNG_DEMAND_S = 2.0
# A model asked for less often, in requests a second, has hardly any waiting.
IDLE_RATE = 0.5
NONE_CROWDED: frozenset[ids.ServerId] = frozenset()
# How long an unload takes by itself; it also waits for runs to end.
UNLOAD_S = 0.1
# How much longer an unload is taken to wait at most, in seconds.
LONGEST_RUNS_S = 4.0
# Demand that one second of loading weighs as much as.
LOADING_WEIGHT = 0.15


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """Name the server, what it unloads first, and how long the load takes."""

    model: ids.ModelName
    server_id: ids.ServerId
    unload: tuple[ids.ModelName, ...]
    load_s: float
    from_store: bool


class _Option(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a choice, and the requests a second that it gains and costs."""

    choice: Choice
    gained: float
    lost: float
    effort: float

    @property
    def net(self) -> float:
        return self.gained - self.lost - self.effort


class ModelPlacement:
    """Weigh the ledgers of one service's servers against its demand."""

    def __init__(
        self,
        ledgers: Collection[ledger.Ledger],
        engine: route.Engine,
        used: usage.Usage,
        service: ids.ServiceName,
        now_s: float,
        *,
        crowded: frozenset[ids.ServerId] = NONE_CROWDED,
        reports_complete: bool = True,
    ) -> None:
        """Decide for the servers of a service at a moment.

        At crowded ones requests wait: an unload would turn them away.  Unless
        all instances have told what runs, nothing makes way.
        """
        self._crowded = crowded
        self._reports_complete = reports_complete
        self._ledgers = ledgers
        self._engine = engine
        self._asked = used.demand
        self._runs = used.runs
        self._service = service
        self._now_s = now_s

    def demand_for(self, name: ids.ModelName) -> demand.ModelDemand:
        """Return the demand for a model."""
        return self._distribution.demand_for(name)

    def replicas(self, name: ids.ModelName) -> int:
        """Return how many servers hold a model, or will by what is decided."""
        return self._distribution.replicas(name)

    def choose_first_replica(
        self,
        name: ids.ModelName,
        *,
        allow_store_load: bool,
        denied: int = 0,
    ) -> Choice | None:
        """Return where to load a model that callers wait for, if anywhere.

        Its demand is all gained, as none of it is served now.  The more often
        it was denied a place, the more it is worth one.
        """
        gained = LAST_REPLICA + self.demand_for(name).rate + DENIED * denied
        options = [
            one
            for one in self._options(name, allow_store_load=allow_store_load)
            if not one.choice.unload
            or one.lost * DISPLACING_DEMAND + one.effort <= gained
        ]
        return _best(options)

    def choose_extra_replica(self, *, allow_store_load: bool) -> Choice | None:
        """Return the load of one more replica that gains most, if any does."""
        by_lateness = sorted(
            self._engine.model_by_name,
            key=self._shortage,
            reverse=True,
        )
        options = [
            option
            for name in by_lateness[:MOST_CANDIDATES]
            if 0 < self._distribution.replicas(name) < len(self._ledgers)
            for option in self._options(name, allow_store_load=allow_store_load)
            if option.net > LEAST_GAIN
        ]
        return _best(options)

    @functools.cached_property
    def _distribution(self) -> demand_distribution.DemandDistribution:
        holders_by_model: dict[ids.ModelName, list[ids.ServerId]] = {}
        load_by_id: dict[ids.ServerId, demand_distribution.ServerLoad] = {}
        for one in self._ledgers:
            server_id = one.registration.server_id
            load_by_id[server_id] = demand_distribution.ServerLoad(
                slots=max(1, one.registration.slots),
                adapter_slots=self._engine.max_adapters,
            )
            for model in one.planned_models():
                holders_by_model.setdefault(model, []).append(server_id)
        return demand_distribution.distribute(
            load_by_id,
            holders_by_model,
            self._asked.by_model(self._service, self._now_s),
        )

    def _shortage(self, name: ids.ModelName) -> float:
        """Return the requests a second that one more replica may help."""
        late = self._distribution.late_rate(name)
        if self._distribution.replicas(name) == 1:
            late += self._spare_worth(name)
        return late

    def _options(
        self,
        name: ids.ModelName,
        *,
        allow_store_load: bool,
    ) -> list[_Option]:
        wanted = self._engine.model_by_name.get(name)
        if wanted is None:
            return []
        return [
            option
            for one in self._ledgers
            if self._may_load(one, name, allow_store_load=allow_store_load)
            for option in self._at(one, wanted)
        ]

    def _may_load(
        self,
        one: ledger.Ledger,
        name: ids.ModelName,
        *,
        allow_store_load: bool,
    ) -> bool:
        if not one.ready(self._now_s) or name in one.adapters_by_model:
            return False
        return allow_store_load or one.is_cached(name)

    def _at(self, one: ledger.Ledger, wanted: route.Model) -> list[_Option]:
        """Return the option to load a model at one server, if it fits."""
        victims = self._victims(one, wanted)
        if victims is None:
            return []
        server_id = one.registration.server_id
        distribution = self._distribution
        lost = float(0)
        load_s = one.load_s(wanted)
        for victim in victims:
            lost += self._loss(distribution, victim, server_id)
            load_s += self._unload_s(victim, server_id)
            distribution = distribution.without_replica(victim, server_id)
        gained = distribution.gain(wanted.name, server_id)
        if distribution.replicas(wanted.name) == 1:
            gained += self._spare_worth(wanted.name)
        blocked = ADAPTERS_BLOCKED * self._adapter_rate(one)
        choice = Choice(
            model=wanted.name,
            server_id=server_id,
            unload=tuple(victims),
            load_s=load_s,
            from_store=not one.is_cached(wanted.name),
        )
        return [
            _Option(
                choice=choice,
                gained=gained,
                lost=lost,
                effort=(LOADING_WEIGHT + blocked) * load_s
                + gained * load_s / GAIN_LASTS_S,
            ),
        ]

    def _victims(
        self,
        one: ledger.Ledger,
        wanted: route.Model,
    ) -> Sequence[ids.ModelName] | None:
        """Return what makes way at a server, or None if too little may."""
        missing_mb = wanted.weights_mb - one.free_mb(self._engine)
        victims: list[ids.ModelName] = []
        if missing_mb <= 0:
            return victims
        young = self._asked.age_s(self._now_s) < YOUNG_DEMAND_S
        if young or not self._reports_complete:
            return None
        server_id = one.registration.server_id
        by_cost = sorted(
            one.adapters_by_model,
            key=lambda model: self._unload_cost(model, server_id),
        )
        for model in by_cost:
            if not self._may_leave(one, model):
                continue
            victims.append(model)
            missing_mb -= ledger.weights_mb(self._engine, model)
            if missing_mb <= 0:
                return victims
        return None

    def _unload_cost(
        self,
        model: ids.ModelName,
        server_id: ids.ServerId,
    ) -> float:
        """Return what an unload costs, its wait included."""
        waits = LOADING_WEIGHT * self._unload_s(model, server_id)
        return self._loss(self._distribution, model, server_id) + waits

    def _may_leave(self, one: ledger.Ledger, model: ids.ModelName) -> bool:
        if self._now_s - one.last_load_s(model) < RESIDENCE_S:
            return False
        crowded = one.registration.server_id in self._crowded
        return not crowded or self.demand_for(model).rate <= IDLE_RATE

    def _loss(
        self,
        distribution: demand_distribution.DemandDistribution,
        model: ids.ModelName,
        server_id: ids.ServerId,
    ) -> float:
        """Return the requests a second that a replica's unload costs."""
        replicas = distribution.replicas(model)
        if replicas <= 1:
            share = self._reload_share(model)
            return share * distribution.demand_for(model).rate + LAST_REPLICA
        lost = distribution.loss(model, server_id)
        if replicas == 2:
            lost += self._spare_worth(model)
        return lost

    def _reload_share(self, name: ids.ModelName) -> float:
        load_s = self._store_load_s(name)
        return min(1, QUICK_RELOAD_SHARE + RELOAD_SHARE_PER_S * load_s)

    def _spare_worth(self, name: ids.ModelName) -> float:
        """Return what a second replica is worth in requests a second."""
        spared_s = SECOND_REPLICA_PER_S * self._store_load_s(name)
        return self.demand_for(name).rate * spared_s

    def _store_load_s(self, name: ids.ModelName) -> float:
        found = self._engine.model_by_name.get(name)
        return 0 if found is None else found.store_load_s

    def _unload_s(
        self,
        victim: ids.ModelName,
        server_id: ids.ServerId,
    ) -> float:
        """Return how long an unload probably waits for the last run to end."""
        wanted = self.demand_for(victim)
        running = self._runs.at(
            server_id,
            need.Need(self._service, victim),
            self._now_s,
        )
        if not running or not wanted.rate:
            return UNLOAD_S
        mean_s = wanted.running / wanted.rate
        return UNLOAD_S + min(
            LONGEST_RUNS_S,
            mean_s * (1 + math.log(running)),
        )

    def _adapter_rate(self, one: ledger.Ledger) -> float:
        """Return the requests a second for adapters at a server."""
        return self._asked.total_rate(
            self._service,
            one.adapters_by_model,
            self._now_s,
        )


def _best(options: Collection[_Option]) -> Choice | None:
    if not options:
        return None
    return max(options, key=lambda option: option.net).choice
