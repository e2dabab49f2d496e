"""Account for the memory of an engine stand-in."""

import time

import msgspec

from emulator import held_model

MAX_EXCESSES = 10_000


class Excess(msgspec.Struct, frozen=True):
    """Use of more memory than available, at seconds since the epoch."""

    at: float
    used_mb: int
    memory_mb: int
    cause: str


class EngineMemory:
    """Memory of models and adapters; records every excess."""

    def __init__(self, memory_mb: int) -> None:
        """Create an empty memory of memory_mb megabytes."""
        self.memory_mb = memory_mb
        self.held_by_model: dict[str, held_model.HeldModel] = {}
        self.excesses: list[Excess] = []

    @property
    def used_mb(self) -> int:
        """Return the memory of everything loaded or loading."""
        return sum(held.total_mb for held in self.held_by_model.values())

    def add_model(self, model: str, memory_mb: int) -> held_model.HeldModel:
        """Allocate memory for a model that starts to load."""
        held = held_model.HeldModel(memory_mb=memory_mb)
        self.held_by_model[model] = held
        self._check(model)
        return held

    def add_adapter(self, model: str, adapter: str, memory_mb: int) -> None:
        """Allocate memory for an adapter of a held model."""
        self.held_by_model[model].mb_by_adapter[adapter] = memory_mb
        self._check(adapter)

    def drop_adapter(self, model: str, adapter: str) -> None:
        """Free the memory of an adapter if it is held."""
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
        used_mb = self.used_mb
        if used_mb > self.memory_mb and len(self.excesses) < MAX_EXCESSES:
            self.excesses.append(
                Excess(time.time(), used_mb, self.memory_mb, cause)
            )
