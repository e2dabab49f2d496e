"""Place models once, according to their average demand."""

import itertools
import math

import msgspec

from oatcrank import ids
from oatcrank.placing import move_plan, placement

USABLE_SLOT_SHARE = 0.75

RateByModel = dict[ids.ModelName, float]


class StaticPlacement(placement.PlacementPolicy):
    """Keep a fixed placement: each model once, models in high demand more."""

    def __init__(self, rate_by_model: RateByModel) -> None:
        """Place by each model's average requests per second."""
        self._rate_by_model = rate_by_model
        self._placement: list[tuple[ids.ServerId, ids.ModelName]] | None = None

    def decide(
        self, observation: placement.Observation
    ) -> tuple[placement.Move, ...]:
        """Load the replicas that are missing from the fixed placement."""
        if self._placement is None:
            self._placement = _pack(observation, self._rate_by_model)
        plan = move_plan.MovePlan(observation)
        for server, model in self._placement:
            if model in plan.model_by_name and plan.can_load(server, model):
                plan.load(server, model)
        return tuple(plan.moves)


class _Replica(msgspec.Struct, frozen=True, kw_only=True):
    model: ids.ModelName
    memory_mb: int
    slots: float


class _Bin:
    def __init__(self, server: placement.ServerView) -> None:
        self.server = server.server
        self.free_mb = server.memory_mb
        self.slots = server.slots * USABLE_SLOT_SHARE
        self.models: set[ids.ModelName] = set()

    def fits(self, replica: _Replica) -> bool:
        return replica.memory_mb <= self.free_mb and (
            replica.model not in self.models
        )

    def add(self, replica: _Replica) -> None:
        self.free_mb -= replica.memory_mb
        self.slots -= replica.slots
        self.models.add(replica.model)


def _pack(
    observation: placement.Observation,
    rate_by_model: RateByModel,
) -> list[tuple[ids.ServerId, ids.ModelName]]:
    bins = [_Bin(server) for server in observation.servers]
    placed = []
    for replica in _replicas(observation, rate_by_model):
        fitting = [candidate for candidate in bins if candidate.fits(replica)]
        with_slots = [
            candidate
            for candidate in fitting
            if candidate.slots >= replica.slots
        ]
        chosen = next(iter(with_slots or fitting), None)
        if chosen is not None:
            chosen.add(replica)
            placed.append((chosen.server, replica.model))
    return placed


def _replicas(
    observation: placement.Observation,
    rate_by_model: RateByModel,
) -> list[_Replica]:
    usable_slots = (
        min(server.slots for server in observation.servers) * USABLE_SLOT_SHARE
    )
    replicas: list[_Replica] = []
    for model in observation.models:
        slots = rate_by_model.get(model.model, 0) * model.service_s
        replica_count = max(1, math.ceil(slots / usable_slots))
        replica = _Replica(
            model=model.model,
            memory_mb=model.memory_mb,
            slots=slots / replica_count,
        )
        replicas.extend(itertools.repeat(replica, replica_count))
    replicas.sort(key=lambda replica: (-replica.memory_mb, -replica.slots))
    return replicas
