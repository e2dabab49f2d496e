"""Send a request through another instance, which reaches the servers."""

import asyncio
import enum
import http
import random
import time
from collections.abc import Callable

from oatcrank import logs
from oatcrank.forwarding import (
    caller_request,
    refusal,
    request_metrics,
    unanswered_requests,
    wire_protocol,
)
from oatcrank.routing import peer_choice, route, server_table
from oatcrank.transport import backend_connection, errors, message, reply

CONNECT_TIMEOUT_S = 0.2
UNREACHED_RETRY_S = 0.5
# Longer answers are passed on before their end.
MAX_BUFFERED_BYTES = 262144


class _Outcome(enum.Enum):
    answered = 'the answer of the instance was passed on'
    not_sent = 'the instance does not have the request'
    broken = 'the request may have run'


class _Relaying:
    """One request on its way through other instances."""

    def __init__(
        self,
        raw: message.Request,
        route_name: str,
        deadline_s: float,
        out: reply.Reply,
        sends: int,
    ) -> None:
        self.raw = raw
        self.route_name = route_name
        # How many sends have reached servers.
        self.sends = sends
        self.deadline_s = deadline_s
        self.out = out
        self.asked: list[str] = []
        self.outcome = _Outcome.not_sent


class PeerRelay:
    """Send requests through other instances, and pass their answers on."""

    def __init__(
        self,
        protocol: wire_protocol.WireProtocol,
        addresses: Callable[[], list[str]],
        rng: random.Random,
        servers: server_table.ServerTable,
    ) -> None:
        """Choose among the callers' addresses of the other instances.

        The table learns which servers leave by answers that are passed on.
        """
        self._protocol = protocol
        self._servers = servers
        self._addresses = addresses
        self._choice = peer_choice.PeerChoice(rng)

    async def relay(
        self,
        raw: message.Request,
        request: caller_request.CallerRequest,
        request_route: route.Route,
        out: reply.Reply,
        unanswered: unanswered_requests.UnansweredRequests,
        *,
        sends: int = 0,
    ) -> None:
        """Answer a request that no server has run.

        So many sends of it have reached servers, which declined it.
        """
        deadline_s = request.deadline_s(request_route.timeout_s)
        sending = _Relaying(raw, request_route.name, deadline_s, out, sends)
        try:
            async with unanswered.limit(out, deadline_s):
                await self._ask_in_turn(sending)
        except TimeoutError:
            logs.event('relay_timeout', request=request.request_id)
        except refusal.InstanceStopping:
            logs.event('relay_given_up', request=request.request_id)
        finally:
            request_metrics.RELAYED_REQUESTS.labels(sending.outcome.name).inc()
            logs.event(
                'request_relayed',
                request=request.request_id,
                instances=','.join(sending.asked),
                outcome=sending.outcome.name,
            )
        _finish(sending.outcome, out)

    async def _ask_in_turn(self, sending: _Relaying) -> None:
        for address in self._choice.choose(
            sending.route_name, self._addresses(), time.monotonic()
        ):
            sending.asked.append(address)
            # Holds if the time runs out meanwhile.
            sending.outcome = _Outcome.broken
            sending.outcome = await self._ask(address, sending)
            if sending.outcome is not _Outcome.not_sent:
                return

    async def _ask(
        self,
        address: str,
        sending: _Relaying,
    ) -> _Outcome:
        host, _, port = address.rpartition(':')
        try:
            connection = await backend_connection.connect(
                host, int(port), CONNECT_TIMEOUT_S
            )
        except errors.ConnectFailed:
            self._choice.record_failed(address, time.monotonic())
            return _Outcome.not_sent
        left_s = sending.deadline_s - asyncio.get_running_loop().time()
        try:
            connection.send(
                self._protocol.encode_relayed(
                    sending.raw, left_s, sending.sends
                ),
                _accept_any_head,
            )
            return await self._pass_on(connection, address, sending)
        finally:
            connection.close()

    async def _pass_on(
        self,
        connection: backend_connection.BackendConnection,
        address: str,
        sending: _Relaying,
    ) -> _Outcome:
        head = await connection.next_event()
        if not isinstance(head, message.ResponseHead):
            return _Outcome.broken
        leaving = self._protocol.take_leaving(head)
        if leaving is not None:
            self._servers.record_leaving(
                leaving, server_table.LeavingSource.other_instance
            )
        now_s = time.monotonic()
        if self._protocol.is_unreached(head):
            self._choice.record_refused(sending.route_name, address, now_s)
            sending.sends = max(
                sending.sends, self._protocol.unreached_sends(head)
            )
            return _Outcome.not_sent
        self._choice.record_answered(sending.route_name, address, now_s)
        if head.framing is message.Framing.connection_end:
            # An instance states a length or sends chunks.
            return _Outcome.broken
        if head.framing is message.Framing.length:
            return await _pass_whole(connection, head, sending.out)
        return await _pass_chunks(connection, head, sending.out, None, b'')


async def _pass_whole(
    connection: backend_connection.BackendConnection,
    head: message.ResponseHead,
    out: reply.Reply,
) -> _Outcome:
    """Pass an answer on once all of it has arrived."""
    buffered = bytearray()
    event = await connection.next_event()
    while isinstance(event, backend_connection.BodyChunk):
        buffered += event.body
        if not out.hold(len(buffered)):
            return _Outcome.broken
        if len(buffered) > MAX_BUFFERED_BYTES:
            length = head.header(b'content-length')
            return await _pass_chunks(
                connection,
                head,
                out,
                None if length is None else int(length),
                bytes(buffered),
            )
        event = await connection.next_event()
    if event is not backend_connection.Ending.complete:
        return _Outcome.broken
    out.answer(
        head.status,
        message.end_to_end(head.headers),
        bytes(buffered),
        reason=head.reason,
    )
    return _Outcome.answered


async def _pass_chunks(
    connection: backend_connection.BackendConnection,
    head: message.ResponseHead,
    out: reply.Reply,
    length: int | None,
    buffered: bytes,
) -> _Outcome:
    """Pass an answer on as it arrives."""
    out.start(
        head.status,
        message.end_to_end(head.headers),
        reason=head.reason,
        length=length,
    )
    out.write(buffered)
    event = await connection.next_event()
    while isinstance(event, backend_connection.BodyChunk):
        out.write(event.body)
        await out.drain()
        event = await connection.next_event()
    if event is not backend_connection.Ending.complete:
        return _Outcome.broken
    out.end()
    return _Outcome.answered


def _finish(outcome: _Outcome, out: reply.Reply) -> None:
    """Answer a request for which no answer was passed on."""
    if outcome is _Outcome.answered:
        return
    if outcome is _Outcome.broken:
        out.fail()
        return
    out.answer(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        [(b'Retry-After', b'%.2f' % UNREACHED_RETRY_S)],
        b'',
    )


def _accept_any_head(_: message.ResponseHead) -> bool:
    return True
