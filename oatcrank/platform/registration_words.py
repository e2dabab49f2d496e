"""Spell what the platform's workers say of themselves."""

import msgspec

from oatcrank import ids


class HeldModel(msgspec.Struct):
    """Name a model that a worker holds, and its adapters there."""

    name: str
    adapters: list[str] = []


class Copies(msgspec.Struct):
    """Name the weights that lie at a worker."""

    # Models whose weights lie in the worker's memory, or on its disk.
    in_memory: list[str] = []
    on_disk: list[str] = []


class Entry(msgspec.Struct):
    """Hold what a worker registers of itself."""

    # The service that the worker belongs to.
    backend: str
    address: str
    zone: str
    slots: int
    state: str
    # The worker's start, in Unix milliseconds.
    born: int = 0
    # The number of orders accepted.
    seq: int = 0
    models: list[HeldModel] = []
    at_hand: Copies = msgspec.field(default_factory=Copies)


def held_adapters(
    models: list[HeldModel],
) -> dict[ids.ModelName, tuple[ids.AdapterName, ...]]:
    """Return the adapters held by model."""
    return {
        ids.ModelName(one.name): tuple(map(ids.AdapterName, one.adapters))
        for one in models
    }
