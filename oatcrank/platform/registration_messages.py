"""Define the registration format of the platform's workers."""

import msgspec

from oatcrank import ids


class HeldModel(msgspec.Struct):
    """Model that a worker holds, with its loaded adapters."""

    name: str
    adapters: list[str] = []


class CachedModels(msgspec.Struct):
    """Models whose weights are cached at a worker."""

    in_memory: list[str] = []
    on_disk: list[str] = []


class Registration(msgspec.Struct):
    """Registration of a worker."""

    # The service that the worker belongs to.
    backend: str
    address: str
    zone: str
    slots: int
    state: str
    # Version of the worker's software, not of its weights.
    version: str = ''
    # Start time of the worker in Unix milliseconds.
    born: int = 0
    # Number of accepted orders.
    seq: int = 0
    models: list[HeldModel] = []
    at_hand: CachedModels = msgspec.field(default_factory=CachedModels)


def held_adapters(
    models: list[HeldModel],
) -> dict[ids.ModelName, tuple[ids.AdapterName, ...]]:
    """Return the loaded adapters by model."""
    return {
        ids.ModelName(held.name): tuple(map(ids.AdapterName, held.adapters))
        for held in models
    }
