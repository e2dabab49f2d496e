"""Queues of the simulated requests that wait for each model."""

import collections

from emulator.replaying import _fake_request
from oatcrank import ids
from oatcrank.entry import deadline_queue

QUEUE_CAPACITY = 256


class FakeQueues:
    """Order waiting requests by deadline.

    Requests that can no longer meet their first-token target come last.
    """

    def __init__(self) -> None:
        """Start with nothing waiting."""
        self._queue_by_model: dict[
            ids.ModelName,
            deadline_queue.DeadlineQueue[_fake_request.FakeRequest],
        ] = collections.defaultdict(_queue)
        self._late_by_model: dict[
            ids.ModelName,
            deadline_queue.DeadlineQueue[_fake_request.FakeRequest],
        ] = collections.defaultdict(_queue)

    def put(self, request: _fake_request.FakeRequest) -> bool:
        """Queue a request, or return False when its queue is full."""
        queue = self._queue_by_model[request.arrival.model]
        return queue.put(request, deadline=request.first_token_deadline_s)

    def waiting(self, model: ids.ModelName) -> int:
        """Return how many requests wait for a model."""
        in_time = len(self._queue_by_model[model])
        return in_time + len(self._late_by_model[model])

    def total_waiting(self) -> int:
        """Return how many requests wait for all models."""
        return sum(map(self.waiting, tuple(self._queue_by_model)))

    def pop_expired(self, now: float) -> list[_fake_request.FakeRequest]:
        """Remove and return the requests whose answer would be too late.

        Requests that miss only their first-token target stay as late ones.
        """
        expired: list[_fake_request.FakeRequest] = []
        for model, queue in self._queue_by_model.items():
            late = self._late_by_model[model]
            expired.extend(
                request
                for request in queue.pop_expired(now)
                if not late.put(request, deadline=request.answer_deadline_s)
            )
            expired.extend(late.pop_expired(now))
        return expired

    def pop_first(
        self,
        models: list[ids.ModelName],
    ) -> _fake_request.FakeRequest | None:
        """Remove and return the most urgent request of these models."""
        for queue_by_model in (self._queue_by_model, self._late_by_model):
            ranked = [
                (rank.deadline, model)
                for model in models
                if (rank := queue_by_model[model].first_rank())
            ]
            if ranked:
                return queue_by_model[min(ranked)[1]].get()
        return None


def _queue() -> deadline_queue.DeadlineQueue[_fake_request.FakeRequest]:
    return deadline_queue.DeadlineQueue(capacity=QUEUE_CAPACITY)
