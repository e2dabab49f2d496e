"""Plan the evacuation of a server and estimate its loss."""

import collections
import enum
import math

import msgspec

from oatcrank import ids
from oatcrank.placing import _eviction, _spare_memory, move_plan

# Time over which the cost of moving a model is spread.
PAYBACK_S = 15.0


class Action(enum.Enum):
    """What is done with a replica on the evacuated server.

    wait: nothing, until a replica elsewhere has loaded.
    load_elsewhere: load it on another server; it is removed in a later round.
    """

    wait = 'wait'
    unload = 'unload'
    drain = 'drain'
    load_elsewhere = 'load_elsewhere'


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """One model's part in an evacuation; the loss is in requests per second.

    elsewhere: whether the step relies on a replica on another server.
    """

    action: Action
    model: ids.ModelName
    loss: float
    target: ids.ServerId | None = None
    elsewhere: bool = False


class EvacuationPlanner:
    """Find the steps that evacuate a server with the least loss."""

    def __init__(
        self,
        plan: move_plan.MovePlan,
        spare_memory: _spare_memory.SpareMemory,
        evictions: _eviction.EvictionPlanner,
    ) -> None:
        """Plan evacuations within one round's moves."""
        self._plan = plan
        self._spare_memory = spare_memory
        self._evictions = evictions

    def steps(
        self, server: ids.ServerId, *, max_loss: float
    ) -> list[Step] | None:
        """Return the steps, or None if they lose more than max_loss."""
        excluded = server in self._spare_memory.excluded
        self._spare_memory.excluded.add(server)
        reserved_mb_by_server: collections.Counter[ids.ServerId] = (
            collections.Counter()
        )
        steps: list[Step] = []
        for model in self._plan.server_by_id[server].loaded:
            step = self._step(server, model, reserved_mb_by_server)
            steps.append(step)
            if sum(entry.loss for entry in steps) > max_loss:
                break
        if not excluded:
            self._spare_memory.excluded.discard(server)
        return steps if sum(entry.loss for entry in steps) <= max_loss else None

    def carry_out(self, server: ids.ServerId, step: Step) -> None:
        """Add a step's moves, unless earlier moves have invalidated it."""
        if step.action in {Action.unload, Action.drain}:
            self._leave(server, step)
        elif step.target and self._plan.can_load(step.target, step.model):
            self._spare_memory.load(step.target, step.model)

    def _leave(self, server: ids.ServerId, step: Step) -> None:
        others = self._other_servers(server, step.model)
        if bool(others) is not step.elsewhere:
            return
        if step.action is Action.drain:
            self._plan.drain(server, step.model)
        elif self._plan.can_unload(server, step.model):
            self._plan.unload(server, step.model)

    def _other_servers(
        self,
        server: ids.ServerId,
        model: ids.ModelName,
    ) -> set[ids.ServerId]:
        holders = set(self._plan.servers_by_model[model])
        return holders - {server}

    def _step(
        self,
        server: ids.ServerId,
        model: ids.ModelName,
        reserved_mb_by_server: collections.Counter[ids.ServerId],
    ) -> Step:
        others = self._other_servers(server, model)
        if others:
            return self._replicated_step(server, model, others)
        idle = self._plan.can_unload(server, model)
        lost = self._evictions.loss(server, model) if idle else math.inf
        moved = self._evictions.move_cost(server, model) / PAYBACK_S
        drop = Step(action=Action.unload, model=model, loss=lost)
        if lost <= moved:
            return drop
        target = self._spare_memory.find(model, reserved_mb_by_server)
        if target is None:
            return drop
        reserved_mb_by_server[target] += self._plan.model_by_name[
            model
        ].memory_mb
        return Step(
            action=Action.load_elsewhere,
            model=model,
            loss=moved,
            target=target,
        )

    def _replicated_step(
        self,
        server: ids.ServerId,
        model: ids.ModelName,
        others: set[ids.ServerId],
    ) -> Step:
        action = Action.wait
        if any(
            model in self._plan.server_by_id[other].loaded for other in others
        ):
            idle = self._plan.can_unload(server, model)
            action = Action.unload if idle else Action.drain
        return Step(action=action, model=model, loss=0, elsewhere=True)
