"""Execute the moves of placement policies in simulated time."""

import functools
from collections.abc import Callable

from emulator.replaying import (
    _fake_fleet,
    _fake_server,
    _fake_store,
    _harness_timeline,
    policy_score,
)
from oatcrank import ids
from oatcrank.control import plan
from oatcrank.placing import placement

UNLOAD_S = 0.25


class MoveExecutor:
    """Apply moves to the fleet; loads and unloads take simulated time."""

    def __init__(
        self,
        fleet: _fake_fleet.FakeFleet,
        store: _fake_store.FakeStore,
        timeline: _harness_timeline.HarnessTimeline,
        score: policy_score.Score,
        on_loaded: Callable[[ids.ModelName], None],
    ) -> None:
        """Call on_loaded with a model when one of its loads ends."""
        self._fleet = fleet
        self._store = store
        self._timeline = timeline
        self._score = score
        self._on_loaded = on_loaded

    def apply(self, moves: tuple[placement.Move, ...]) -> None:
        """Start moves, best first; raises MoveRefused."""
        for move in moves:
            self._score.moves_by_kind[move.kind.value] += 1
            if move.kind is placement.MoveKind.load:
                self._load(move)
            elif move.kind is placement.MoveKind.unload:
                self._unload(move)
            else:
                self._fleet.drain(move)

    def _load(self, move: placement.Move) -> None:
        if not self._store.free_load_slots:
            raise _fake_fleet.MoveRefused(f'{move}: no free load slot')
        replica = self._fleet.load(move)
        end_s = self._store.start_model_load(self._timeline.now())
        self._timeline.add(end_s, functools.partial(self._end_load, replica))

    def _end_load(self, replica: _fake_server.FakeReplica) -> None:
        self._store.end_model_load()
        replica.state = plan.ReplicaState.loaded
        self._on_loaded(replica.model)

    def _unload(self, move: placement.Move) -> None:
        self._fleet.unload(move)
        self._timeline.add(
            self._timeline.now() + UNLOAD_S,
            functools.partial(self._fleet.remove, move),
        )
