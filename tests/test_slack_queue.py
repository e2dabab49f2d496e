"""Check the order, capacity and expiry of the deadline queue."""

import itertools

import pytest
from hypothesis import given, settings, strategies

from oatcrank.entry import deadline_queue

CAPACITY = 6
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(('put', 'get', 'expire', 'discard')),
        strategies.integers(0, 20),
        strategies.integers(0, 2),
    ),
    max_size=80,
)


@settings(derandomize=True, deadline=None)
@given(STEPS)
def test_agrees_with_a_sorted_list(steps: list[tuple[str, int, int]]) -> None:
    pair = _Pair()
    for step, deadline, priority in steps:
        if step == 'put':
            pair.put(deadline, priority)
        elif step == 'get':
            pair.get()
        elif step == 'expire':
            pair.expire(deadline)
        else:
            pair.discard(deadline)
        assert len(pair.queue) == len(pair.entries)


class _Pair:
    def __init__(self) -> None:
        self.queue: deadline_queue.DeadlineQueue[str] = (
            deadline_queue.DeadlineQueue(
                capacity=CAPACITY,
            )
        )
        self.entries: list[tuple[int, int, int, str]] = []
        self._numbers = itertools.count()

    def put(self, deadline: int, priority: int) -> None:
        number = next(self._numbers)
        name = f'item {number}'
        is_added = self.queue.put(name, deadline=deadline, priority=priority)
        assert is_added is (len(self.entries) < CAPACITY)
        if is_added:
            self.entries.append((priority, deadline, number, name))

    def get(self) -> None:
        self.entries.sort()
        most_urgent = self.entries.pop(0)[3] if self.entries else None
        assert self.queue.get() == most_urgent

    def expire(self, now: int) -> None:
        expired = {entry[3] for entry in self.entries if entry[1] < now}
        assert set(self.queue.pop_expired(now)) == expired
        self.entries = [entry for entry in self.entries if entry[1] >= now]

    def discard(self, index: int) -> None:
        if self.entries:
            discarded = self.entries.pop(index % len(self.entries))
            assert self.queue.discard(discarded[3])


@pytest.mark.parametrize('rounds', [1, 1000])
def test_compacts_removed_items(rounds: int) -> None:
    queue: deadline_queue.DeadlineQueue[int] = deadline_queue.DeadlineQueue(
        capacity=2
    )
    for number in range(rounds):
        queue.put(number, deadline=number)
        assert queue.get() == number
    assert queue.get() is None
    assert not queue.pop_expired(float('inf'))
