"""Plan how a server is emptied, and what is lost by it."""

import collections
import enum
import math

import msgspec

from oatcrank import ids
from oatcrank.placing import _spare, _swap, move_plan

PAYBACK_S = 15.0


class Action(enum.Enum):
    """Say what becomes of a replica on a server that is emptied."""

    wait = 'wait'
    unload = 'unload'
    drain = 'drain'
    load_elsewhere = 'load_elsewhere'


class Step(msgspec.Struct, frozen=True, kw_only=True):
    """Hold what becomes of one model; loss is in requests a second.

    elsewhere: whether the step relies on a replica on another server.
    """

    action: Action
    model: ids.ModelName
    loss: float
    target: ids.ServerId | None = None
    elsewhere: bool = False


class Vacating:
    """Find the steps that empty a server at least loss."""

    def __init__(
        self,
        plan: move_plan.MovePlan,
        spare: _spare.Spare,
        swap: _swap.Swap,
    ) -> None:
        """Plan within one round's room."""
        self._plan = plan
        self._spare = spare
        self._swap = swap

    def steps(self, server: ids.ServerId, *, most: float) -> list[Step] | None:
        """Return the steps, or None where they lose more than most."""
        closed = server in self._spare.closed
        self._spare.closed.add(server)
        taken: collections.Counter[ids.ServerId] = collections.Counter()
        steps: list[Step] = []
        for model in self._plan.server_by_id[server].loaded:
            step = self._step(server, model, taken)
            steps.append(step)
            if sum(entry.loss for entry in steps) > most:
                break
        if not closed:
            self._spare.closed.discard(server)
        return steps if sum(entry.loss for entry in steps) <= most else None

    def carry_out(self, server: ids.ServerId, step: Step) -> None:
        """Choose a step's moves, where earlier ones leave it as planned."""
        if step.action in {Action.unload, Action.drain}:
            self._leave(server, step)
        elif step.target and self._plan.can_load(step.target, step.model):
            self._spare.load(step.target, step.model)

    def _leave(self, server: ids.ServerId, step: Step) -> None:
        others = self._others(server, step.model)
        if bool(others) is not step.elsewhere:
            return
        if step.action is Action.drain:
            self._plan.drain(server, step.model)
        elif self._plan.can_unload(server, step.model):
            self._plan.unload(server, step.model)

    def _others(
        self,
        server: ids.ServerId,
        model: ids.ModelName,
    ) -> set[ids.ServerId]:
        homes = set(self._plan.servers_by_model[model])
        return homes - {server}

    def _step(
        self,
        server: ids.ServerId,
        model: ids.ModelName,
        taken: collections.Counter[ids.ServerId],
    ) -> Step:
        others = self._others(server, model)
        if others:
            return self._doubled(server, model, others)
        idle = self._plan.can_unload(server, model)
        lost = self._swap.loss(server, model) if idle else math.inf
        moved = self._swap.move_cost(server, model) / PAYBACK_S
        drop = Step(action=Action.unload, model=model, loss=lost)
        if lost <= moved:
            return drop
        target = self._spare.find(model, taken)
        if target is None:
            return drop
        taken[target] += self._plan.model_by_name[model].memory_mb
        return Step(
            action=Action.load_elsewhere,
            model=model,
            loss=moved,
            target=target,
        )

    def _doubled(
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
