"""Hold the faults that a stand-in shows at present."""

from typing import Any, Generic, TypeVar

import msgspec

Faults = TypeVar('Faults')


class FaultBox(Generic[Faults]):
    """Hold one set of faults, of which some can be set anew."""

    def __init__(self, faults: Faults) -> None:
        """Start with these faults."""
        self.current = faults

    def merge(self, named: dict[str, Any]) -> None:
        """Set the faults named; raises msgspec.ValidationError."""
        both = {**msgspec.to_builtins(self.current), **named}
        self.current = msgspec.convert(both, type=type(self.current))

    def take(self, name: str) -> bool:
        """Use up one of a counted fault; False if none is left."""
        left = getattr(self.current, name)
        if left:
            setattr(self.current, name, left - 1)
        return bool(left)
