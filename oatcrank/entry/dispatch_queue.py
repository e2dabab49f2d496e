"""Queue requests until a backend server has capacity, most urgent first."""

import asyncio
import collections
from collections.abc import Callable, Sequence
from http import HTTPStatus

from oatcrank import clock, ids, refusal
from oatcrank.configuration import profile
from oatcrank.engines import backend_server
from oatcrank.entry import admission, deadline_queue, dispatch_request, router

DEFAULT_SERVICE_S = 1.0
SERVICE_S_SMOOTHING = 0.1
MIN_RETRY_AFTER_S = 0.5
NOT_LOADED_EXCLUSION_S = 0.5
RANK_BY_PRIORITY = {
    profile.Priority.high: 0,
    profile.Priority.normal: 1,
    profile.Priority.low: 2,
}

ServersOf = Callable[[ids.ModelName], Sequence[backend_server.BackendServer]]


class Waiter:
    """Track one request in the queue of its model."""

    def __init__(
        self, request: dispatch_request.ModelRequest, *, crashes: int
    ) -> None:
        """Wait for a server, after crashes for one without other suspects."""
        self.request = request
        self.crashes = crashes
        self.assigned: asyncio.Future[backend_server.BackendServer] = (
            asyncio.get_running_loop().create_future()
        )


Queue = deadline_queue.DeadlineQueue[Waiter]
QueueKey = tuple[ids.ModelName, int]


class DispatchQueue:
    """Assign requests to servers, queue them by deadline, or refuse them."""

    def __init__(
        self,
        *,
        servers_of: ServersOf,
        router: router.Router,
        clock: clock.Clock,
        queue_limit: int,
    ) -> None:
        """Use the servers that servers_of returns; bound each queue."""
        self.arrivals_by_model: collections.Counter[ids.ModelName] = (
            collections.Counter()
        )
        self.running_by_model: collections.Counter[ids.ModelName] = (
            collections.Counter()
        )
        self._running_by_replica: collections.Counter[
            tuple[str, ids.ModelName]
        ] = collections.Counter()
        self.service_s_by_model: dict[ids.ModelName, float] = {}
        self._servers_of = servers_of
        self._router = router
        self._clock = clock
        self._queue_limit = queue_limit
        # One queue per crash count: a suspect that waits for a server without
        # other suspects must not block the requests behind it.
        self._queue_by_key: dict[QueueKey, Queue] = {}
        self._excluded_until_by_replica: dict[
            tuple[str, ids.ModelName], float
        ] = {}

    def busy_models(self) -> set[ids.ModelName]:
        """Return the models that have waiting or running requests."""
        running = {
            model for model, count in self.running_by_model.items() if count
        }
        return running | {model for model, _ in self._queue_by_key}

    def is_idle(self, server: ids.ServerId, model: ids.ModelName) -> bool:
        """Return whether no request for the model runs on the server."""
        return not self._running_by_replica[server, model]

    def waiting(self, model: ids.ModelName) -> int:
        """Return the number of requests that wait for a model."""
        return sum(
            len(queue)
            for (queued_model, _), queue in self._queue_by_key.items()
            if queued_model == model
        )

    async def reserve(
        self,
        request: dispatch_request.ModelRequest,
        *,
        crashes: int = 0,
    ) -> backend_server.BackendServer:
        """Reserve a slot and return its server; raises refusal.Refused.

        crashes is the number of crashes that the request may have caused.  If
        there are any, it gets a server that runs no other suspect, and counts
        as a suspect there.
        """
        if not self.waiting(request.model) or crashes:
            server = self._try_reserve(request, crashes=crashes)
            if server is not None:
                return server
        self._check_admission(request)
        return await self._wait(request, crashes=crashes)

    def release(
        self,
        server: backend_server.BackendServer,
        model: ids.ModelName,
    ) -> None:
        """Release a slot and assign it to the most urgent request."""
        server.in_flight -= 1
        self.running_by_model[model] -= 1
        self._running_by_replica[server.listed.instance_id, model] -= 1
        self.assign_waiting()

    def record_service_s(self, model: ids.ModelName, service_s: float) -> None:
        """Update the moving average of the model's service time."""
        average_s = self.service_s_by_model.get(model, service_s)
        self.service_s_by_model[model] = average_s + SERVICE_S_SMOOTHING * (
            service_s - average_s
        )

    def exclude_not_loaded(
        self,
        server: backend_server.BackendServer,
        model: ids.ModelName,
    ) -> None:
        """Exclude the server from the model's requests for a short time."""
        key = (server.listed.instance_id, model)
        self._excluded_until_by_replica[key] = (
            self._clock.now() + NOT_LOADED_EXCLUSION_S
        )

    def assign_waiting(self) -> None:
        """Assign as many waiting requests as possible, by deadline per model.

        Requests with the fewest crashes go first: those that did not cause
        the crash complete and are cleared before the next one, instead of
        running next to the crashing request again and again.
        """
        for queue_key in sorted(self._queue_by_key, key=_crash_count):
            self._assign_waiters(self._queue_by_key[queue_key])
            if not len(self._queue_by_key[queue_key]):
                self._queue_by_key.pop(queue_key)

    def _assign_waiters(self, queue: Queue) -> None:
        waiter = queue.peek()
        while waiter is not None:
            server = self._try_reserve(waiter.request, crashes=waiter.crashes)
            if server is None:
                return
            queue.get()
            waiter.assigned.set_result(server)
            waiter = queue.peek()

    def _try_reserve(
        self,
        request: dispatch_request.ModelRequest,
        *,
        crashes: int,
    ) -> backend_server.BackendServer | None:
        server = self._router.choose(
            self._available_servers(request.model),
            prefix=request.prefix,
            avoid_domains=request.avoided_domains,
            exclude_suspects=crashes > 0,
        )
        if server is not None:
            server.in_flight += 1
            server.suspect_count += crashes > 0
            self.running_by_model[request.model] += 1
            replica = (server.listed.instance_id, request.model)
            self._running_by_replica[replica] += 1
        return server

    def _available_servers(
        self,
        model: ids.ModelName,
    ) -> Sequence[backend_server.BackendServer]:
        servers = self._servers_of(model)
        if not self._excluded_until_by_replica:
            return servers
        now = self._clock.now()
        self._excluded_until_by_replica = {
            key: until
            for key, until in self._excluded_until_by_replica.items()
            if until > now
        }
        return [
            server
            for server in servers
            if (server.listed.instance_id, model)
            not in self._excluded_until_by_replica
        ]

    def _check_admission(self, request: dispatch_request.ModelRequest) -> None:
        waiting_ahead = self.waiting(request.model)
        expected_s = self._expected_wait_s(request.model, waiting_ahead)
        retry_after_s = admission.retry_after_s(
            admission.TimingEstimate(
                start_s=expected_s,
                service_s=self.service_s_by_model.get(request.model, 0),
                remaining_s=request.deadline - self._clock.now(),
            ),
        )
        if waiting_ahead >= self._queue_limit:
            raise capacity_refusal(
                refusal.Code.overloaded,
                'the request queue of the model is full',
                expected_s,
                may_have_run=request.may_have_run,
            )
        if retry_after_s is not None:
            raise capacity_refusal(
                refusal.Code.not_in_time,
                'the answer could not complete within its target',
                retry_after_s,
                may_have_run=request.may_have_run,
            )

    def _expected_wait_s(
        self, model: ids.ModelName, waiting_ahead: int
    ) -> float:
        slots = sum(
            server.slots for server in self._servers_of(model) if server.usable
        )
        if not slots:
            return 0
        service_s = self.service_s_by_model.get(model, DEFAULT_SERVICE_S)
        return service_s * waiting_ahead / slots

    async def _wait(
        self,
        request: dispatch_request.ModelRequest,
        *,
        crashes: int,
    ) -> backend_server.BackendServer:
        waiter = Waiter(request, crashes=crashes)
        queue_key = (request.model, crashes)
        queue = self._queue_by_key.get(queue_key)
        if queue is None:
            queue = deadline_queue.DeadlineQueue(capacity=self._queue_limit)
            self._queue_by_key[queue_key] = queue
        queue.put(
            waiter,
            deadline=request.deadline,
            priority=RANK_BY_PRIORITY[request.profile.priority],
        )
        try:
            async with asyncio.timeout(request.deadline - self._clock.now()):
                return await asyncio.shield(waiter.assigned)
        except TimeoutError as error:
            self._withdraw(waiter)
            raise capacity_refusal(
                refusal.Code.not_in_time,
                'no backend server had capacity within the target',
                MIN_RETRY_AFTER_S,
                may_have_run=request.may_have_run,
            ) from error
        except asyncio.CancelledError:
            self._withdraw(waiter)
            raise

    def _withdraw(self, waiter: Waiter) -> None:
        model = waiter.request.model
        if waiter.assigned.done():
            server = waiter.assigned.result()
            server.suspect_count -= waiter.crashes > 0
            self.release(server, model)
            return
        queue_key = (model, waiter.crashes)
        queue = self._queue_by_key[queue_key]
        queue.discard(waiter)
        if not len(queue):
            self._queue_by_key.pop(queue_key)


def _crash_count(queue_key: QueueKey) -> int:
    return queue_key[1]


def capacity_refusal(
    code: refusal.Code,
    message: str,
    retry_after_s: float,
    *,
    may_have_run: bool = False,
) -> refusal.Refused:
    """Return a refusal for a request that could not be assigned."""
    return refusal.Refused(
        refusal.Refusal(
            code=code,
            message=message,
            run_state=refusal.RunState.may_have_run
            if may_have_run
            else refusal.RunState.did_not_run,
            retry_after_s=max(retry_after_s, MIN_RETRY_AFTER_S),
            status=HTTPStatus.SERVICE_UNAVAILABLE,
        ),
    )
