"""Give orders to the platform's model workers."""

import asyncio
import http
from collections.abc import Callable

import msgspec

from oatcrank import errors, ids, logs
from oatcrank.orders import order
from oatcrank.platform import registration_words
from oatcrank.routing import server_registration
from oatcrank.transport import calls, connection_pool

ORDER_WITHIN_S = 0.2
REPORT_WITHIN_S = 0.3
OPERATION_BY_ACTION = {
    order.Action.load: 'model_load',
    order.Action.unload: 'model_unload',
}
OUTCOME_BY_STATUS = {
    http.HTTPStatus.ACCEPTED: order.Outcome.accepted,
    http.HTTPStatus.OK: order.Outcome.done,
    http.HTTPStatus.CONFLICT: order.Outcome.conflict,
    http.HTTPStatus.PRECONDITION_FAILED: order.Outcome.rejected,
    http.HTTPStatus.BAD_REQUEST: order.Outcome.rejected,
    http.HTTPStatus.MISDIRECTED_REQUEST: order.Outcome.elsewhere,
}


def _always() -> bool:
    return True


class _OrderBody(msgspec.Struct, omit_defaults=True, kw_only=True):
    operation: str
    model: str
    adapter: str | None = None
    # The number of accepted orders that the worker must be at.
    expected: int
    holder: str
    fencing_token: int


class _ReportBody(msgspec.Struct):
    busy: bool
    # The number of accepted orders.
    seq: int
    models: list[registration_words.HeldModel] = []
    # Adapters on their way, each as MODEL/NAME@VERSION.
    coming: list[str] = []
    # The worker's start, in Unix milliseconds.
    born: int | None = None


class _Kept(msgspec.Struct):
    listed: server_registration.Registration
    pool: connection_pool.ConnectionPool


class WorkerOrders(order.OrderSender):
    """Speak to workers about what they hold."""

    def __init__(self) -> None:
        """Have no connections yet."""
        self._pool_by_id: dict[ids.ServerId, _Kept] = {}

    async def send(
        self,
        listed: server_registration.Registration,
        one: order.Order,
        may_send: Callable[[], bool],
    ) -> order.Outcome:
        """Send one order, unless it may no longer leave when it could."""
        body = _OrderBody(
            operation=OPERATION_BY_ACTION[one.action],
            model=one.model,
            adapter=one.adapter,
            expected=one.orders_taken,
            holder=one.holder,
            fencing_token=one.fence,
        )
        try:
            called = await self._call(
                listed,
                calls.Call(
                    method='POST',
                    target='/order',
                    body=msgspec.json.encode(body),
                    headers=(('X-Expected-Instance', listed.server_id),),
                ),
                ORDER_WITHIN_S,
                may_send,
            )
        except errors.NotStarted as error:
            logs.event('order_unsent', server=listed.server_id, error=error)
            return order.Outcome.unsent
        except errors.Interrupted as error:
            logs.event('order_unknown', server=listed.server_id, error=error)
            return order.Outcome.unknown
        outcome = OUTCOME_BY_STATUS.get(http.HTTPStatus(called.status))
        if outcome is None:
            logs.event(
                'order_answer_unknown',
                server=listed.server_id,
                status=called.status,
            )
            return order.Outcome.unknown
        return outcome

    async def report(
        self, listed: server_registration.Registration
    ) -> order.Report | None:
        """Return what a worker says of itself, or None."""
        try:
            called = await self._call(
                listed,
                calls.Call(
                    method='GET',
                    target='/report',
                    headers=(('X-Expected-Instance', listed.server_id),),
                ),
                REPORT_WITHIN_S,
            )
            if called.status != http.HTTPStatus.OK:
                logs.event(
                    'report_refused',
                    server=listed.server_id,
                    status=called.status,
                )
                return None
            told = msgspec.json.decode(called.body, type=_ReportBody)
        except (errors.BackendError, msgspec.MsgspecError) as error:
            logs.event('report_failed', server=listed.server_id, error=error)
            return None
        return order.Report(
            started_ms=told.born,
            busy=told.busy,
            orders_taken=told.seq,
            adapters_by_model=registration_words.held_adapters(told.models),
            arriving_adapters=tuple(map(_arriving, told.coming)),
        )

    async def _call(
        self,
        listed: server_registration.Registration,
        one: calls.Call,
        within_s: float,
        may_send: Callable[[], bool] = _always,
    ) -> calls.Called:
        """Make a call on a connection that is kept for the next.

        Raises what calls.call raises.
        """
        pool = self._pool(listed)
        connection = await pool.take()
        if not may_send():
            pool.give_back(connection)
            raise errors.NotStarted('the turn is over')
        try:
            async with asyncio.timeout(within_s):
                return await calls.exchange(
                    connection,
                    f'{listed.host}:{listed.port}',
                    one,
                )
        except TimeoutError as error:
            raise errors.Interrupted('no answer in time') from error
        finally:
            pool.give_back(connection)

    def _pool(
        self, listed: server_registration.Registration
    ) -> connection_pool.ConnectionPool:
        """Return the connections to one start of a worker."""
        kept = self._pool_by_id.get(listed.server_id)
        if kept is None or not kept.listed.is_same_process(listed):
            if kept is not None:
                kept.pool.close()
            kept = _Kept(
                listed,
                connection_pool.ConnectionPool(listed.host, listed.port),
            )
            self._pool_by_id[listed.server_id] = kept
        return kept.pool


def _arriving(text: str) -> tuple[ids.ModelName, ids.AdapterName]:
    model, _, adapter = text.partition('@')[0].partition('/')
    return ids.ModelName(model), ids.AdapterName(adapter)
