"""Bounded queue ordered by priority and deadline."""

import heapq
import itertools
from typing import Generic, NamedTuple, TypeVar

Item = TypeVar('Item')
COMPACTION_FACTOR = 4


class Rank(NamedTuple):
    """Sort key: lower priority numbers first, then earlier deadlines."""

    priority: int
    deadline: float
    number: int


class DeadlineQueue(Generic[Item]):
    """Queue a bounded number of items by priority, then earliest deadline.

    Deadlines are in seconds of the caller's clock.  Removed items stay in the
    heaps until they reach the top or the heaps are compacted.
    """

    def __init__(self, *, capacity: int) -> None:
        """Hold at most capacity items."""
        self._capacity = capacity
        self._numbers = itertools.count()
        self._item_by_number: dict[int, Item] = {}
        self._rank_heap: list[Rank] = []
        self._deadline_heap: list[tuple[float, int]] = []

    def __len__(self) -> int:
        """Return the number of waiting items."""
        return len(self._item_by_number)

    def put(self, item: Item, *, deadline: float, priority: int = 0) -> bool:
        """Add an item, or return False if the queue is full."""
        if len(self) >= self._capacity:
            return False
        if len(self._deadline_heap) > COMPACTION_FACTOR * self._capacity:
            self._compact()
        number = next(self._numbers)
        self._item_by_number[number] = item
        heapq.heappush(self._rank_heap, Rank(priority, deadline, number))
        heapq.heappush(self._deadline_heap, (deadline, number))
        return True

    def first_rank(self) -> Rank | None:
        """Return the rank of the item that get would return."""
        ranks = self._rank_heap
        while ranks and ranks[0].number not in self._item_by_number:
            heapq.heappop(ranks)
        return ranks[0] if ranks else None

    def peek(self) -> Item | None:
        """Return the item that get would return, or None."""
        rank = self.first_rank()
        return None if rank is None else self._item_by_number[rank.number]

    def get(self) -> Item | None:
        """Remove and return the most urgent item, or None."""
        rank = self.first_rank()
        if rank is None:
            return None
        heapq.heappop(self._rank_heap)
        return self._item_by_number.pop(rank.number)

    def pop_expired(self, now: float) -> list[Item]:
        """Remove and return the items whose deadline is before now."""
        expired = []
        while self._deadline_heap and self._deadline_heap[0][0] < now:
            _, number = heapq.heappop(self._deadline_heap)
            if number in self._item_by_number:
                expired.append(self._item_by_number.pop(number))
        return expired

    def discard(self, removed: Item) -> bool:
        """Remove an item; return whether it was waiting."""
        for number, item in self._item_by_number.items():
            if item is removed:
                self._item_by_number.pop(number)
                return True
        return False

    def _compact(self) -> None:
        live = self._item_by_number
        self._deadline_heap = [
            (deadline, number)
            for deadline, number in self._deadline_heap
            if number in live
        ]
        heapq.heapify(self._deadline_heap)
        self._rank_heap = [
            rank for rank in self._rank_heap if rank.number in live
        ]
        heapq.heapify(self._rank_heap)
