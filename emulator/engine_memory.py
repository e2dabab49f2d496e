"""Account for an engine stand-in's memory."""

import time

import msgspec

from emulator import held_model

KEPT_EXCESSES = 10_000


class Excess(msgspec.Struct, frozen=True):
    """Record that more memory was used than held; at is an epoch second."""

    at: float
    used_mb: int
    memory_mb: int
    cause: str


class EngineMemory:
    """Hold models and adapters, and record every excess."""

    def __init__(self, memory_mb: int) -> None:
        """Hold memory_mb megabytes."""
        self.memory_mb = memory_mb
        self.held_by_model: dict[str, held_model.HeldModel] = {}
        self.excess: list[Excess] = []

    @property
    def used_mb(self) -> int:
        """Return the memory of everything held or loading."""
        return sum(held.total_mb for held in self.held_by_model.values())

    def add_model(self, model: str, memory_mb: int) -> held_model.HeldModel:
        """Take memory for a model that starts to load."""
        held = held_model.HeldModel(memory_mb=memory_mb)
        self.held_by_model[model] = held
        self._check(model)
        return held

    def add_adapter(self, model: str, adapter: str, memory_mb: int) -> None:
        """Take memory for an adapter of a held model."""
        self.held_by_model[model].mb_by_adapter[adapter] = memory_mb
        self._check(adapter)

    def drop_adapter(self, model: str, adapter: str) -> None:
        """Free an adapter's memory, if it is held."""
        held = self.held_by_model.get(model)
        if held is not None:
            held.mb_by_adapter.pop(adapter, None)
            held.ready_adapters.discard(adapter)

    def serves(self, model: str, adapter: str) -> bool:
        """Return whether a request for the model and adapter can run."""
        held = self.held_by_model.get(model)
        if held is None or not held.ready:
            return False
        return not adapter or adapter in held.ready_adapters

    def _check(self, cause: str) -> None:
        used = self.used_mb
        if used > self.memory_mb and len(self.excess) < KEPT_EXCESSES:
            self.excess.append(Excess(time.time(), used, self.memory_mb, cause))
