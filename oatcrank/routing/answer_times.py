"""Remember what servers have answered, and since when its crashes count."""

import collections
import math
from collections.abc import Iterable
from typing import Generic, TypeVar

import msgspec

Name = TypeVar('Name', bound=str)

# Names that are remembered; those that came last.
MAX_NAMES = 8192
# Answers from which on something is answered often.  A stream counts twice:
# once it is past what crashes a server, and at its end.
OFTEN_ANSWERS = 4


class _Answers(msgspec.Struct):
    """Answers to one thing; its crashes before cleared_s don't count."""

    count: int = 0
    cleared_s: float = -math.inf


class AnswerTimes(Generic[Name]):
    """Numbers and times of answers, by what was answered."""

    def __init__(self) -> None:
        """Start without answers."""
        self._answers_by_name: collections.OrderedDict[Name, _Answers] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        """Return how many names are remembered."""
        return len(self._answers_by_name)

    def record(self, name: Name, answered_s: float) -> None:
        """Record an answer, which may be older than one known already."""
        self._add(name, 1, answered_s)

    def record_often_answered(self, names: Iterable[Name]) -> None:
        """Record what servers have answered often, before all known crashes."""
        for name in names:
            self._add(name, OFTEN_ANSWERS, -math.inf)

    def lift(self, name: Name, now_s: float) -> None:
        """Discard the crashes until now, though no server has answered."""
        self._add(name, 0, now_s)

    def is_answered(self, name: Name) -> bool:
        """Return whether a server has answered this."""
        return self._count(name) > 0

    def is_often_answered(self, name: Name) -> bool:
        """Return whether servers have answered this often."""
        return self._count(name) >= OFTEN_ANSWERS

    def cleared_s(self, name: Name) -> float:
        """Return the time before which crashes of this don't count."""
        answers = self._answers_by_name.get(name)
        return -math.inf if answers is None else answers.cleared_s

    def _count(self, name: Name) -> int:
        answers = self._answers_by_name.get(name)
        return 0 if answers is None else answers.count

    def _add(self, name: Name, count: int, cleared_s: float) -> None:
        answers = self._answers_by_name.setdefault(name, _Answers())
        answers.count += count
        answers.cleared_s = max(answers.cleared_s, cleared_s)
        self._answers_by_name.move_to_end(name)
        if len(self._answers_by_name) > MAX_NAMES:
            self._answers_by_name.popitem(last=False)
