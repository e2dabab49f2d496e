"""Place models with knowledge of the whole trace, as a strong reference.

It is not a proved upper bound: replay_best_plan searches a family of greedy
plans and keeps the best for each trace.
"""

import msgspec

from emulator.replaying import _known_demand, policy_harness, trace
from oatcrank import ids
from oatcrank.placing import move_plan, placement

LOAD_MARGIN_S = 1.0
DEMAND_WINDOW_S = 8.0


class PlanParameters(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a greedy plan.

    keep_s: a model stays loaded if its next arrival is within this time.
    min_arrivals: the arrivals within keep_s that justify an early load.
    max_slot_share: the share of a server's slots that may be in use.
    evacuates: whether a server is evacuated by moving its models to others.
    """

    keep_s: float
    min_arrivals: int
    max_slot_share: float
    evacuates: bool


INITIAL_KEEP_S = 15
INITIAL_MAX_SLOT_SHARE = 0.8
INITIAL_PARAMETERS = PlanParameters(
    keep_s=INITIAL_KEEP_S,
    min_arrivals=1,
    max_slot_share=INITIAL_MAX_SLOT_SHARE,
    evacuates=True,
)
VALUES_BY_FIELD: dict[str, tuple[float, ...]] = {
    'keep_s': (2, 4, 8, 40),
    'evacuates': (False,),
    'max_slot_share': (0.6, 1),
    'min_arrivals': (4,),
}


class InformedPlacement(placement.PlacementPolicy):
    """Load models ahead of their arrivals and unload them soon after."""

    def __init__(
        self,
        demand: _known_demand.KnownDemand,
        parameters: PlanParameters,
    ) -> None:
        """Plan for a known demand with these parameters."""
        self._demand = demand
        self._parameters = parameters
        self._evacuated_server: ids.ServerId | None = None

    def decide(
        self, observation: placement.Observation
    ) -> tuple[placement.Move, ...]:
        """Load the models that are needed soon, the earliest first."""
        plan = move_plan.MovePlan(observation)
        slots_by_server = self._slots_by_server(plan)
        for model in self._models_to_load(plan):
            self._load(plan, model, slots_by_server)
        self._evacuate_server(plan, slots_by_server)
        for view in observation.servers:
            for held in (*view.loaded, *view.draining):
                self._unload_unneeded(plan, view, held)
        return tuple(plan.moves)

    def _mean_slots(self, model: ids.ModelName, now: float) -> float:
        return self._demand.mean_slots(model, now, now + DEMAND_WINDOW_S)

    def _slots_by_server(
        self, plan: move_plan.MovePlan
    ) -> dict[ids.ServerId, float]:
        slots_by_server: dict[ids.ServerId, float] = dict.fromkeys(
            plan.server_by_id, 0
        )
        for model, servers in plan.servers_by_model.items():
            for server in servers:
                slots = self._mean_slots(model, plan.observation.now_s)
                slots_by_server[server] += slots / len(servers)
        return slots_by_server

    def _models_to_load(self, plan: move_plan.MovePlan) -> list[ids.ModelName]:
        now = plan.observation.now_s
        load_by_s = now + plan.observation.load_s + LOAD_MARGIN_S
        ranked = []
        for model in plan.observation.models:
            next_arrival_s = self._demand.next_arrival_s(model.model, now)
            if model.waiting or next_arrival_s <= load_by_s:
                ranked.append((next_arrival_s - model.waiting, model.model))
        return [
            name
            for _, name in sorted(ranked)
            if self._needs_replica(plan, plan.model_by_name[name])
        ]

    def _needs_replica(
        self, plan: move_plan.MovePlan, model: placement.ModelView
    ) -> bool:
        servers = plan.servers_by_model[model.model]
        now = plan.observation.now_s
        if not servers:
            arrivals = self._demand.arrival_count(
                model.model,
                now,
                now + self._parameters.keep_s,
            )
            return (
                model.waiting > 0 or arrivals >= self._parameters.min_arrivals
            )
        start = now + plan.observation.load_s
        slots = self._demand.mean_slots(
            model.model, start, start + DEMAND_WINDOW_S
        )
        max_slots = max(view.slots for view in plan.observation.servers)
        return slots > self._parameters.max_slot_share * max_slots * len(
            servers
        )

    def _load(
        self,
        plan: move_plan.MovePlan,
        model: ids.ModelName,
        slots_by_server: dict[ids.ServerId, float],
    ) -> None:
        slots = self._mean_slots(model, plan.observation.now_s)
        fitting = [
            server
            for server in plan.server_by_id
            if plan.can_load(server, model)
        ]
        with_slots = [
            server
            for server in fitting
            if slots_by_server[server] + slots
            <= self._usable_slots(plan, server)
        ]
        ranked = [
            (
                not plan.is_used(server),
                server == self._evacuated_server,
                plan.free_mb_by_server[server],
                server,
            )
            for server in with_slots or fitting
        ]
        if ranked:
            server = min(ranked)[-1]
            plan.load(server, model)
            slots_by_server[server] += slots
        elif plan.load_slots:
            self._evict_for(plan, model)

    def _usable_slots(
        self, plan: move_plan.MovePlan, server: ids.ServerId
    ) -> float:
        return self._parameters.max_slot_share * plan.server_by_id[server].slots

    def _evict_for(
        self, plan: move_plan.MovePlan, model: ids.ModelName
    ) -> None:
        if any(view.unloading for view in plan.observation.servers):
            return
        now = plan.observation.now_s
        needed_mb = plan.model_by_name[model].memory_mb
        candidates = []
        for view in plan.observation.servers:
            evictable = sorted(
                (-self._demand.next_arrival_s(held, now), held)
                for held in view.loaded
                if plan.can_unload(view.server, held)
            )
            freed_mb = plan.free_mb_by_server[view.server]
            for count, (_, held) in enumerate(evictable, 1):
                freed_mb += plan.model_by_name[held].memory_mb
                if freed_mb >= needed_mb:
                    chosen = evictable[:count]
                    candidates.append((max(chosen), view.server, chosen))
                    break
        if candidates:
            _, server, chosen = min(candidates)
            for _, held in chosen:
                plan.unload(server, held)

    def _unload_unneeded(
        self,
        plan: move_plan.MovePlan,
        view: placement.ServerView,
        model: ids.ModelName,
    ) -> None:
        if not plan.can_unload(view.server, model):
            return
        now = plan.observation.now_s
        next_arrival_s = self._demand.next_arrival_s(model, now)
        if (
            next_arrival_s > now + self._parameters.keep_s
            or model in view.draining
        ):
            plan.unload(view.server, model)

    def _evacuate_server(
        self,
        plan: move_plan.MovePlan,
        slots_by_server: dict[ids.ServerId, float],
    ) -> None:
        self._evacuated_server = None
        used = [
            view
            for view in plan.observation.servers
            if plan.is_used(view.server) and not view.loading
        ]
        if not self._parameters.evacuates or len(used) < 2:
            return
        evacuated = min(used, key=lambda view: slots_by_server[view.server])
        moves = self._relocations(plan, evacuated, slots_by_server)
        if moves is None:
            return
        self._evacuated_server = evacuated.server
        for model, server in moves:
            plan.load(server, model)
        for held in evacuated.loaded:
            servers = plan.servers_by_model[held]
            others = set(servers) - {evacuated.server}
            if evacuated.server in servers and any(
                held in plan.server_by_id[other].loaded for other in others
            ):
                plan.drain(evacuated.server, held)

    def _relocations(
        self,
        plan: move_plan.MovePlan,
        evacuated: placement.ServerView,
        slots_by_server: dict[ids.ServerId, float],
    ) -> list[tuple[ids.ModelName, ids.ServerId]] | None:
        free_by_server = {
            server: free_mb
            for server, free_mb in plan.free_mb_by_server.items()
            if plan.is_used(server) and server != evacuated.server
        }
        planned_slots_by_server = dict(slots_by_server)
        moves: list[tuple[ids.ModelName, ids.ServerId]] = []
        for model in evacuated.loaded:
            if len(plan.servers_by_model[model]) > 1:
                continue
            slots = self._mean_slots(model, plan.observation.now_s)
            fitting = [
                (free_mb, server)
                for server, free_mb in free_by_server.items()
                if plan.model_by_name[model].memory_mb <= free_mb
                and plan.can_load(server, model)
                and planned_slots_by_server[server] + slots
                <= self._usable_slots(plan, server)
            ]
            if not fitting or len(moves) >= plan.load_slots:
                return None
            server = min(fitting)[1]
            free_by_server[server] -= plan.model_by_name[model].memory_mb
            planned_slots_by_server[server] += slots
            moves.append((model, server))
        return moves


def replay_best_plan(
    recorded_trace: trace.Trace,
) -> policy_harness.PolicyHarness:
    """Replay a trace with the plan parameters that serve it best."""
    demand = _known_demand.KnownDemand(recorded_trace)
    best = _replay(recorded_trace, demand, INITIAL_PARAMETERS)
    best_parameters = INITIAL_PARAMETERS
    for name, values in VALUES_BY_FIELD.items():
        for value in values:
            candidate_parameters = msgspec.structs.replace(
                best_parameters,
                **{name: value},
            )
            candidate = _replay(recorded_trace, demand, candidate_parameters)
            if candidate.score.per_accelerator > best.score.per_accelerator:
                best = candidate
                best_parameters = candidate_parameters
    return best


def _replay(
    recorded_trace: trace.Trace,
    demand: _known_demand.KnownDemand,
    parameters: PlanParameters,
) -> policy_harness.PolicyHarness:
    harness = policy_harness.PolicyHarness(
        recorded_trace,
        {
            pool.name: InformedPlacement(demand, parameters)
            for pool in recorded_trace.header.pools
        },
    )
    harness.run()
    return harness
