"""Place models with knowledge of the whole trace, as a strong reference.

It is no proved bound: best_plan searches a family of greedy plans with
hindsight and keeps the best of each trace.
"""

import msgspec

from emulator.replaying import _known_demand, policy_harness, trace
from oatcrank import ids
from oatcrank.placing import move_plan, placement

START_MARGIN_S = 1.0
WINDOW_S = 8.0


class PlanShape(msgspec.Struct, frozen=True, kw_only=True):
    """Shape a plan.

    keep_s: for how long ahead an arrival keeps a model loaded.
    least_arrivals: how many within keep_s are worth a load ahead of time.
    share: how much of a server's slots is filled.
    empties: whether models are moved to empty a server.
    """

    keep_s: float
    least_arrivals: int
    share: float
    empties: bool


FIRST_KEEP_S = 15
FIRST_SHARE = 0.8
FIRST_SHAPE = PlanShape(
    keep_s=FIRST_KEEP_S,
    least_arrivals=1,
    share=FIRST_SHARE,
    empties=True,
)
VALUES_BY_FIELD: dict[str, tuple[float, ...]] = {
    'keep_s': (2, 4, 8, 40),
    'empties': (False,),
    'share': (0.6, 1),
    'least_arrivals': (4,),
}


class InformedPlacement(placement.PlacementPolicy):
    """Load before demand comes and unload as soon as none is near."""

    def __init__(
        self,
        known: _known_demand.KnownDemand,
        shape: PlanShape,
    ) -> None:
        """Know the trace and follow one shape of plan."""
        self._known = known
        self._shape = shape
        self._closing: ids.ServerId | None = None

    def decide(
        self, observation: placement.Observation
    ) -> tuple[placement.Move, ...]:
        """Load what is about to be asked for, the nearest first."""
        plan = move_plan.MovePlan(observation)
        filled = self._filled(plan)
        for model in self._wanted(plan):
            self._load(plan, model, filled)
        self._empty(plan, filled)
        for view in observation.servers:
            for held in (*view.loaded, *view.draining):
                self._unload(plan, view, held)
        return tuple(plan.moves)

    def _slots(self, model: ids.ModelName, now: float) -> float:
        return self._known.slots(model, now, now + WINDOW_S)

    def _filled(self, plan: move_plan.MovePlan) -> dict[ids.ServerId, float]:
        filled: dict[ids.ServerId, float] = dict.fromkeys(plan.server_by_id, 0)
        for model, homes in plan.servers_by_model.items():
            for server in homes:
                slots = self._slots(model, plan.observation.now_s)
                filled[server] += slots / len(homes)
        return filled

    def _wanted(self, plan: move_plan.MovePlan) -> list[ids.ModelName]:
        now = plan.observation.now_s
        ahead_s = now + plan.observation.load_s + START_MARGIN_S
        ranked = []
        for model in plan.observation.models:
            next_s = self._known.next_s(model.model, now)
            if model.waiting or next_s <= ahead_s:
                ranked.append((next_s - model.waiting, model.model))
        return [
            name
            for _, name in sorted(ranked)
            if self._lacks(plan, plan.model_by_name[name])
        ]

    def _lacks(
        self, plan: move_plan.MovePlan, model: placement.ModelView
    ) -> bool:
        homes = plan.servers_by_model[model.model]
        now = plan.observation.now_s
        if not homes:
            coming = self._known.arrivals(
                model.model,
                now,
                now + self._shape.keep_s,
            )
            return model.waiting > 0 or coming >= self._shape.least_arrivals
        start = now + plan.observation.load_s
        slots = self._known.slots(model.model, start, start + WINDOW_S)
        most = max(view.slots for view in plan.observation.servers)
        return slots > self._shape.share * most * len(homes)

    def _load(
        self,
        plan: move_plan.MovePlan,
        model: ids.ModelName,
        filled: dict[ids.ServerId, float],
    ) -> None:
        slots = self._slots(model, plan.observation.now_s)
        fitting = [
            server
            for server in plan.server_by_id
            if plan.can_load(server, model)
        ]
        roomy = [
            server
            for server in fitting
            if filled[server] + slots <= self._most(plan, server)
        ]
        ranked = [
            (
                not plan.is_used(server),
                server == self._closing,
                plan.free_mb_by_server[server],
                server,
            )
            for server in roomy or fitting
        ]
        if ranked:
            server = min(ranked)[-1]
            plan.load(server, model)
            filled[server] += slots
        elif plan.load_slots:
            self._make_room(plan, model)

    def _most(self, plan: move_plan.MovePlan, server: ids.ServerId) -> float:
        return self._shape.share * plan.server_by_id[server].slots

    def _make_room(
        self, plan: move_plan.MovePlan, model: ids.ModelName
    ) -> None:
        if any(view.unloading for view in plan.observation.servers):
            return
        now = plan.observation.now_s
        needed_mb = plan.model_by_name[model].memory_mb
        choices = []
        for view in plan.observation.servers:
            victims = sorted(
                (-self._known.next_s(held, now), held)
                for held in view.loaded
                if plan.can_unload(view.server, held)
            )
            freed_mb = plan.free_mb_by_server[view.server]
            for count, (_, held) in enumerate(victims, 1):
                freed_mb += plan.model_by_name[held].memory_mb
                if freed_mb >= needed_mb:
                    chosen = victims[:count]
                    choices.append((max(chosen), view.server, chosen))
                    break
        if choices:
            _, server, chosen = min(choices)
            for _, held in chosen:
                plan.unload(server, held)

    def _unload(
        self,
        plan: move_plan.MovePlan,
        view: placement.ServerView,
        model: ids.ModelName,
    ) -> None:
        if not plan.can_unload(view.server, model):
            return
        now = plan.observation.now_s
        next_s = self._known.next_s(model, now)
        if next_s > now + self._shape.keep_s or model in view.draining:
            plan.unload(view.server, model)

    def _empty(
        self,
        plan: move_plan.MovePlan,
        filled: dict[ids.ServerId, float],
    ) -> None:
        self._closing = None
        used = [
            view
            for view in plan.observation.servers
            if plan.is_used(view.server) and not view.loading
        ]
        if not self._shape.empties or len(used) < 2:
            return
        least = min(used, key=lambda view: filled[view.server])
        moves = self._targets(plan, least, filled)
        if moves is None:
            return
        self._closing = least.server
        for model, server in moves:
            plan.load(server, model)
        for held in least.loaded:
            homes = plan.servers_by_model[held]
            others = set(homes) - {least.server}
            if least.server in homes and any(
                held in plan.server_by_id[other].loaded for other in others
            ):
                plan.drain(least.server, held)

    def _targets(
        self,
        plan: move_plan.MovePlan,
        leaving: placement.ServerView,
        filled: dict[ids.ServerId, float],
    ) -> list[tuple[ids.ModelName, ids.ServerId]] | None:
        free_by_server = {
            server: free_mb
            for server, free_mb in plan.free_mb_by_server.items()
            if plan.is_used(server) and server != leaving.server
        }
        slots_by_server = dict(filled)
        moves: list[tuple[ids.ModelName, ids.ServerId]] = []
        for model in leaving.loaded:
            if len(plan.servers_by_model[model]) > 1:
                continue
            slots = self._slots(model, plan.observation.now_s)
            fitting = [
                (free_mb, server)
                for server, free_mb in free_by_server.items()
                if plan.model_by_name[model].memory_mb <= free_mb
                and plan.can_load(server, model)
                and slots_by_server[server] + slots <= self._most(plan, server)
            ]
            if not fitting or len(moves) >= plan.load_slots:
                return None
            server = min(fitting)[1]
            free_by_server[server] -= plan.model_by_name[model].memory_mb
            slots_by_server[server] += slots
            moves.append((model, server))
        return moves


def best_plan(known: trace.Trace) -> policy_harness.PolicyHarness:
    """Replay a trace by the shape of plan that serves it best."""
    demand = _known_demand.KnownDemand(known)
    best = _replay(known, demand, FIRST_SHAPE)
    shape = FIRST_SHAPE
    for name, values in VALUES_BY_FIELD.items():
        for value in values:
            tried_shape = msgspec.structs.replace(shape, **{name: value})
            tried = _replay(known, demand, tried_shape)
            if tried.score.per_accelerator > best.score.per_accelerator:
                best = tried
                shape = tried_shape
    return best


def _replay(
    known: trace.Trace,
    demand: _known_demand.KnownDemand,
    shape: PlanShape,
) -> policy_harness.PolicyHarness:
    harness = policy_harness.PolicyHarness(
        known,
        {
            pool.name: InformedPlacement(demand, shape)
            for pool in known.head.pools
        },
    )
    harness.run()
    return harness
