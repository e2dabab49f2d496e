"""Keep the causes of crashes that are refused, and records held back."""

from collections.abc import Callable, Iterable
from typing import Generic, TypeVar

Name = TypeVar('Name', bound=str)


class RefusedCauses(Generic[Name]):
    """Refused causes of one kind.

    A record that arrives soon after its cause was cleared is held back: it may
    come from an instance that does not know of the clearing yet.  A cause with
    an open trial is let through once.
    """

    def __init__(self) -> None:
        """Start without causes."""
        self.names: set[Name] = set()
        self._held_back: set[Name] = set()
        self._open_trials: set[Name] = set()

    @property
    def recorded(self) -> frozenset[Name]:
        """Return all whose records are to be kept."""
        return frozenset(self.names | self._held_back)

    def is_recorded(self, name: Name) -> bool:
        """Return whether the record of a cause is to be kept."""
        return name in self.names or name in self._held_back

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
        self._open_trials.discard(name)

    def open_trial(self, name: Name) -> None:
        """Let a refused cause through once."""
        if name in self.names:
            self._open_trials.add(name)

    def refused_of(self, names: Iterable[Name]) -> Name | None:
        """Return a cause that is not let through, if any."""
        return next(
            (
                name
                for name in names
                if name in self.names and name not in self._open_trials
            ),
            None,
        )

    def trials_of(self, names: Iterable[Name]) -> tuple[Name, ...]:
        """Return the causes that are let through once."""
        return tuple(name for name in names if name in self._open_trials)

    def end_trials(self, names: Iterable[Name]) -> None:
        """Let causes through no longer."""
        self._open_trials.difference_update(names)
