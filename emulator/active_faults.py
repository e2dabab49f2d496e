"""Hold the active faults of a stand-in."""

from typing import Any, Generic, TypeVar

import msgspec

Faults = TypeVar('Faults')


class ActiveFaults(Generic[Faults]):
    """Active faults, which can be changed one by one."""

    def __init__(self, faults: Faults) -> None:
        """Set the initial faults."""
        self.current = faults

    def merge(self, changes: dict[str, Any]) -> None:
        """Change faults by name; raises msgspec.ValidationError."""
        merged = {**msgspec.to_builtins(self.current), **changes}
        self.current = msgspec.convert(merged, type=type(self.current))

    def consume(self, name: str) -> bool:
        """Decrement a counted fault; False if none is left."""
        remaining = getattr(self.current, name)
        if remaining:
            setattr(self.current, name, remaining - 1)
        return bool(remaining)
