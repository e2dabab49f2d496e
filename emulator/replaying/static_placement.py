"""Place models once, by their average demand."""

import itertools
import math

import msgspec

from oatcrank import ids
from oatcrank.placing import move_plan, placement

MOST_SLOTS = 0.75

RateByModel = dict[ids.ModelName, float]


class StaticPlacement(placement.PlacementPolicy):
    """Hold a fixed placement: every model once, hot models more often."""

    def __init__(self, rate_by_model: RateByModel) -> None:
        """Know each model's average requests a second."""
        self._rate_by_model = rate_by_model
        self._wanted: list[tuple[ids.ServerId, ids.ModelName]] | None = None

    def decide(
        self, observation: placement.Observation
    ) -> tuple[placement.Move, ...]:
        """Load what the fixed placement lacks."""
        if self._wanted is None:
            self._wanted = _pack(observation, self._rate_by_model)
        plan = move_plan.MovePlan(observation)
        for server, model in self._wanted:
            if model in plan.model_by_name and plan.can_load(server, model):
                plan.load(server, model)
        return tuple(plan.moves)


class _Share(msgspec.Struct, frozen=True, kw_only=True):
    model: ids.ModelName
    memory_mb: int
    slots: float


class _Bin:
    def __init__(self, server: placement.ServerView) -> None:
        self.server = server.server
        self.free_mb = server.memory_mb
        self.slots = server.slots * MOST_SLOTS
        self.models: set[ids.ModelName] = set()

    def fits(self, share: _Share) -> bool:
        return share.memory_mb <= self.free_mb and (
            share.model not in self.models
        )

    def add(self, share: _Share) -> None:
        self.free_mb -= share.memory_mb
        self.slots -= share.slots
        self.models.add(share.model)


def _pack(
    observation: placement.Observation,
    rate_by_model: RateByModel,
) -> list[tuple[ids.ServerId, ids.ModelName]]:
    bins = [_Bin(server) for server in observation.servers]
    wanted = []
    for share in _shares(observation, rate_by_model):
        fitting = [place for place in bins if place.fits(share)]
        roomy = [place for place in fitting if place.slots >= share.slots]
        chosen = next(iter(roomy or fitting), None)
        if chosen is not None:
            chosen.add(share)
            wanted.append((chosen.server, share.model))
    return wanted


def _shares(
    observation: placement.Observation,
    rate_by_model: RateByModel,
) -> list[_Share]:
    most = min(server.slots for server in observation.servers) * MOST_SLOTS
    shares: list[_Share] = []
    for model in observation.models:
        slots = rate_by_model.get(model.model, 0) * model.service_s
        replicas = max(1, math.ceil(slots / most))
        share = _Share(
            model=model.model,
            memory_mb=model.memory_mb,
            slots=slots / replicas,
        )
        shares.extend(itertools.repeat(share, replicas))
    shares.sort(key=lambda share: (-share.memory_mb, -share.slots))
    return shares
