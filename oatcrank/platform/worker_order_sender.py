"""Send orders to the platform's model workers and read their reports."""

import asyncio
import http
from collections.abc import Callable

import msgspec

from oatcrank import decoding, errors, ids, logs
from oatcrank.orders import order
from oatcrank.platform import (
    platform_protocol,
    registration_messages,
    server_headers,
)
from oatcrank.routing import (
    server_registration,
    server_table,
)
from oatcrank.transport import calls, connection_pool

ORDER_TIMEOUT_S = 0.2
REPORT_TIMEOUT_S = 0.3
OPERATION_BY_ACTION = {
    order.Action.load: 'model_load',
    order.Action.unload: 'model_unload',
}
OUTCOME_BY_STATUS: dict[int, order.Outcome] = {
    http.HTTPStatus.ACCEPTED: order.Outcome.accepted,
    http.HTTPStatus.OK: order.Outcome.done,
    http.HTTPStatus.CONFLICT: order.Outcome.conflict,
    http.HTTPStatus.PRECONDITION_FAILED: order.Outcome.rejected,
    http.HTTPStatus.BAD_REQUEST: order.Outcome.rejected,
    http.HTTPStatus.MISDIRECTED_REQUEST: order.Outcome.misdirected,
}


def _always_allowed() -> bool:
    return True


def _ignore_limit(
    registration: server_registration.Registration,
    requests_per_s: float,
    sent_s: float,
) -> None:
    """Ignore the limit of an answer."""


class _OrderBody(msgspec.Struct, omit_defaults=True, kw_only=True):
    operation: str
    model: str
    adapter: str | None = None
    # Number of orders that the worker must have accepted before this one.
    expected: int
    holder: str
    fencing_token: int


class _ReportBody(msgspec.Struct):
    busy: bool
    # Number of accepted orders.
    seq: registration_messages.Number
    models: list[registration_messages.HeldModel] = []
    # Adapters being loaded, each as MODEL/NAME@VERSION.
    coming: list[str] = []
    # Start time of the worker in Unix milliseconds.
    born: registration_messages.Number | None = None


class _WorkerPool(msgspec.Struct):
    registration: server_registration.Registration
    pool: connection_pool.ConnectionPool


class WorkerOrderSender(order.OrderSender):
    """HTTP client for orders to workers and their reports."""

    def __init__(self) -> None:
        """Create a sender without connections."""
        self._limit_listener: order.LimitListener = _ignore_limit
        self._servers = server_table.ServerTable()
        self._worker_pool_by_id: dict[ids.ServerId, _WorkerPool] = {}

    def listen_for_limits(self, listener: order.LimitListener) -> None:
        """Report each limit that an answer of a server names."""
        self._limit_listener = listener

    def attach(self, servers: server_table.ServerTable) -> None:
        """Report to a table what answers say; send only where it allows."""
        self._servers = servers

    async def send(
        self,
        registration: server_registration.Registration,
        new_order: order.Order,
        may_send: Callable[[], bool],
    ) -> order.Outcome:
        """Send one order, unless may_send() denies it once connected."""
        body = _OrderBody(
            operation=OPERATION_BY_ACTION[new_order.action],
            model=new_order.model,
            adapter=new_order.adapter,
            expected=new_order.orders_taken,
            holder=new_order.holder,
            fencing_token=new_order.fence,
        )
        try:
            response = await self._call(
                registration,
                calls.Call(
                    method='POST',
                    target='/order',
                    body=msgspec.json.encode(body),
                    headers=(('X-Expected-Instance', registration.server_id),),
                ),
                ORDER_TIMEOUT_S,
                may_send,
            )
        except errors.NotStarted as error:
            logs.event(
                'order_not_sent', server=registration.server_id, error=error
            )
            return order.Outcome.unsent
        except errors.Interrupted as error:
            logs.event(
                'order_outcome_unknown',
                server=registration.server_id,
                error=error,
            )
            return order.Outcome.unknown
        outcome = OUTCOME_BY_STATUS.get(response.status)
        if outcome is None:
            logs.event(
                'order_answer_unknown',
                server=registration.server_id,
                status=response.status,
            )
            return order.Outcome.unknown
        return outcome

    async def report(
        self, registration: server_registration.Registration
    ) -> order.Report | None:
        """Return the report of a worker, or None if there is none."""
        try:
            response = await self._call(
                registration,
                calls.Call(
                    method='GET',
                    target='/report',
                    headers=(('X-Expected-Instance', registration.server_id),),
                ),
                REPORT_TIMEOUT_S,
            )
            if response.status != http.HTTPStatus.OK:
                logs.event(
                    'report_refused',
                    server=registration.server_id,
                    status=response.status,
                )
                return None
            body = decoding.from_json(response.body, expected=_ReportBody)
        except (errors.BackendError, msgspec.MsgspecError) as error:
            logs.event(
                'report_failed', server=registration.server_id, error=error
            )
            return None
        return order.Report(
            started_ms=body.born,
            busy=body.busy,
            orders_taken=body.seq,
            adapters_by_model=registration_messages.held_adapters(body.models),
            arriving_adapters=tuple(map(_parse_adapter, body.coming)),
        )

    async def _call(
        self,
        registration: server_registration.Registration,
        request: calls.Call,
        timeout_s: float,
        may_send: Callable[[], bool] = _always_allowed,
    ) -> calls.CallResponse:
        """Make a call on a pooled connection.

        Raises the same errors as calls.call.
        """
        self._check_accepts(registration)
        pool = self._pool(registration)
        connection = await pool.acquire()
        try:
            self._check_accepts(registration)
            if not may_send():
                raise errors.NotStarted('no longer allowed to send')
        except errors.NotStarted:
            pool.release(connection)
            raise
        sent_s = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(timeout_s):
                response = await calls.exchange(
                    connection,
                    f'{registration.host}:{registration.port}',
                    request,
                )
        except TimeoutError as error:
            raise errors.Interrupted('timeout') from error
        finally:
            pool.release(connection)
        self._report_limit(registration, response, sent_s)
        if server_headers.is_leaving(response.status, response.headers):
            self._servers.record_leaving(
                registration.registered_process,
                server_table.LeavingSource.answer,
            )
        pause = server_headers.requested_pause(
            response.status, response.headers
        )
        if pause is not None:
            self._servers.pause(registration, pause)
        return response

    def _check_accepts(
        self, registration: server_registration.Registration
    ) -> None:
        if not self._servers.accepts_sends(registration):
            raise errors.NotStarted('the server takes no more')

    def _report_limit(
        self,
        registration: server_registration.Registration,
        response: calls.CallResponse,
        sent_s: float,
    ) -> None:
        """Report a limit that is named; these answers don't say it ended."""
        if response.status == http.HTTPStatus.MISDIRECTED_REQUEST:
            return
        limit = platform_protocol.limit_per_s(response.headers)
        if limit is not None:
            self._limit_listener(registration, limit, sent_s)

    def _pool(
        self, registration: server_registration.Registration
    ) -> connection_pool.ConnectionPool:
        """Return the pool of a worker; a new one after it has restarted."""
        worker_pool = self._worker_pool_by_id.get(registration.server_id)
        if worker_pool is None or not worker_pool.registration.is_same_process(
            registration
        ):
            if worker_pool is not None:
                worker_pool.pool.close()
            worker_pool = _WorkerPool(
                registration,
                connection_pool.ConnectionPool(
                    registration.host, registration.port
                ),
            )
            self._worker_pool_by_id[registration.server_id] = worker_pool
        return worker_pool.pool


def _parse_adapter(text: str) -> tuple[ids.ModelName, ids.AdapterName]:
    model, _, adapter = text.partition('@')[0].partition('/')
    return ids.ModelName(model), ids.AdapterName(adapter)
