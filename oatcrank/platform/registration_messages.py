"""Define the registration format of the platform's workers."""

from typing import Annotated

import msgspec

from oatcrank import ids

MAX_SLOTS = 100_000
# Larger numbers can't be sent to other instances.
NUMBER_BITS = 53
MAX_NUMBER = 2**NUMBER_BITS
# Versions are parts of keys of the store, which are short.
MAX_VERSION_LENGTH = 100

Slots = Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
Version = Annotated[str, msgspec.Meta(max_length=MAX_VERSION_LENGTH)]


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
    slots: Slots
    state: str
    # Version of the worker's software, not of its weights.
    version: Version = ''
    # Start time of the worker in Unix milliseconds.
    born: Number = 0
    # Number of accepted orders.
    seq: Number = 0
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
