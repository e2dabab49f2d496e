"""Define the state of a model in an engine stand-in."""

import msgspec


class HeldModel(msgspec.Struct, kw_only=True):
    """Memory of a model and its adapters, and which are ready."""

    memory_mb: int
    ready: bool = False
    ready_adapters: set[str] = msgspec.field(default_factory=set)
    mb_by_adapter: dict[str, int] = msgspec.field(default_factory=dict)

    @property
    def total_mb(self) -> int:
        """Return the memory of the model with its adapters."""
        return self.memory_mb + sum(self.mb_by_adapter.values())
