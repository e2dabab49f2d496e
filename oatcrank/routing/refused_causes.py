"""Keep the causes of crashes that are refused, and records held back."""

from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

Name = TypeVar('Name', bound=str)


class RefusedCauses(Generic[Name]):
    """Refused causes of one kind.

    A record that arrives soon after its cause was cleared is held back: it may
    come from an instance that does not know of the clearing yet.
    """

    def __init__(self) -> None:
        """Start without causes."""
        self.names: set[Name] = set()
        self._held_back: set[Name] = set()

    @property
    def recorded(self) -> frozenset[Name]:
        """Return all whose records are to be kept."""
        return frozenset(self.names | self._held_back)

    def refuse(self, names: Iterable[Name]) -> None:
        """Refuse causes from now on."""
        self.names.update(names)

    def adopt(self, name: Name, *, hold_back: bool) -> bool:
        """Refuse a recorded cause, or hold it back; return if it is new."""
        if name in self.names:
            return False
        if hold_back:
            self._held_back.add(name)
            return False
        self._held_back.discard(name)
        self.names.add(name)
        return True

    def adopt_held_back(
        self, is_held_back: Callable[[Name], bool]
    ) -> tuple[Name, ...]:
        """Refuse what is no longer held back; return it."""
        due = tuple(name for name in self._held_back if not is_held_back(name))
        return tuple(name for name in due if self.adopt(name, hold_back=False))

    def clear(self, name: Name) -> None:
        """Stop refusing a cause, and let its record be removed."""
        self.names.discard(name)
        self._held_back.discard(name)
