"""Define what instances refuse because it crashes servers."""

import abc
import enum
from collections.abc import Collection, Iterable, Mapping
from typing import Any, Generic, TypeVar

from oatcrank.routing import answer_times, refused_causes

Name = TypeVar('Name', bound=str)

# Instances that do not know of a clearing yet write records within this time.
CLEARED_HOLD_S = 5.0
# Servers that crash within this time may have a common cause, such as a loss of
# power.  It explains the crashes of what servers have answered before.
COMMON_CAUSE_WINDOW_S = 2.0


class Kind(enum.Enum):
    """Kinds of causes."""

    prompt_part = 'a part of prompts'
    request = 'a request'


class CrashCauses(abc.ABC, Generic[Name]):
    """Causes of one kind that an instance refuses, and what it has answered."""

    def __init__(self) -> None:
        """Start without causes."""
        self._refusals = refused_causes.RefusedCauses[Name]()
        self._answers = answer_times.AnswerTimes[Name]()

    @abc.abstractmethod
    def clear(self, names: Iterable[Name], answered_s: float) -> None:
        """Discard the crashes before an answer, and what rests on them."""

    @abc.abstractmethod
    def update(self, now_s: float) -> tuple[Name, ...]:
        """Evaluate the crashes; return what is refused since the last call."""

    def lift(self, name: Name, now_s: float) -> None:
        """Stop refusing a cause, though no server has answered it.

        Crashes from now on count as if it was never refused.
        """
        self._answers.lift(name, now_s)
        self._refusals.clear(name)

    def refused(self) -> frozenset[Name]:
        """Return all that are refused."""
        return frozenset(self._refusals.names)

    def recorded(self) -> frozenset[Name]:
        """Return all whose records are to be kept."""
        return self._refusals.recorded

    def adopt(self, name: Name, now_s: float) -> bool:
        """Refuse what another instance refuses; return if it is new."""
        return self._refusals.adopt(
            name, hold_back=self._is_just_cleared(name, now_s)
        )

    def adopt_held_back(self, now_s: float) -> tuple[Name, ...]:
        """Refuse records that came too soon after a clearing; return them."""
        return self._refusals.adopt_held_back(
            lambda name: self._is_just_cleared(name, now_s)
        )

    def open_trial(self, name: Name) -> None:
        """Let a refused cause through once, to learn if it still crashes."""
        self._refusals.open_trial(name)

    def end_trials(self, names: Iterable[Name]) -> None:
        """Let causes through no longer."""
        self._refusals.end_trials(names)

    def _is_just_cleared(self, name: Name, now_s: float) -> bool:
        return now_s - self._answers.cleared_s(name) < CLEARED_HOLD_S


CausesByKind = Mapping[Kind, CrashCauses[Any]]


def may_share_cause(crash_times_s: Collection[float]) -> bool:
    """Return whether servers may have crashed together of another cause."""
    duration_s = max(crash_times_s) - min(crash_times_s)
    return duration_s < COMMON_CAUSE_WINDOW_S
