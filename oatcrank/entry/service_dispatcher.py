"""Dispatch calls to plain services."""

from http import HTTPStatus
from typing import Any

from tornado import httputil, iostream, tcpclient

from oatcrank import errors, refusal, rpc
from oatcrank.engines import backend_server, backend_servers
from oatcrank.entry import (
    answer_memory,
    dispatch_queue,
    dispatch_request,
    dispatcher,
    response_writer,
    router,
    upstream_connection,
)

RETRY_AFTER_S = 1.0


class ServiceDispatcher(dispatcher.Dispatcher):
    """Relay calls to the servers that offer a service."""

    def __init__(
        self,
        *,
        servers: backend_servers.BackendServers,
        router: router.Router,
        answers: answer_memory.AnswerMemory | None = None,
        **common: Any,
    ) -> None:
        """Choose from the listed servers of a service."""
        super().__init__(**common)
        self._answers = answers or answer_memory.AnswerMemory()
        self._servers = servers
        self._router = router

    async def _reserve(
        self,
        request: dispatch_request.DispatchRequest,
        *,
        crashes: int,
    ) -> backend_server.BackendServer:
        assert isinstance(request, dispatch_request.ServiceRequest)
        server = self._router.choose(
            self._servers.of_service(request.service),
            avoid_domains=request.avoided_domains,
            exclude_suspects=crashes > 0,
        )
        if server is None:
            raise dispatch_queue.capacity_refusal(
                refusal.Code.no_backend_server,
                f'no server of {request.service} has capacity for the call',
                RETRY_AFTER_S,
                may_have_run=request.may_have_run,
            )
        server.in_flight += 1
        server.suspect_count += crashes > 0
        return server

    def _release(
        self,
        server: backend_server.BackendServer,
        request: dispatch_request.DispatchRequest,
    ) -> None:
        server.in_flight -= 1

    async def _is_alive(self, server: backend_server.BackendServer) -> bool:
        host, port = server.listed.address.rsplit(':', 1)
        try:
            stream = await tcpclient.TCPClient().connect(
                host,
                int(port),
                timeout=rpc.CONNECT_TIMEOUT_S,
            )
        except (OSError, iostream.StreamClosedError):
            return False
        stream.close()
        return True

    async def _send(
        self,
        server: backend_server.BackendServer,
        request: dispatch_request.DispatchRequest,
        writer: response_writer.ResponseWriter,
    ) -> None:
        assert isinstance(request, dispatch_request.ServiceRequest)
        relay = _AnswerRelay(self._answers.open())
        connection = upstream_connection.UpstreamConnection(
            relay.on_head, relay.on_chunk
        )
        headers = httputil.HTTPHeaders(
            {
                'Content-Type': request.content_type,
                'X-Request-Id': request.next_attempt_id(),
            },
        )
        if request.idempotency_key:
            headers['Idempotency-Key'] = request.idempotency_key
        try:
            await connection.run(
                server.listed.address,
                httputil.RequestStartLine(request.method, request.path, ''),
                headers,
                request.body,
                permit=request.permit,
                probe=lambda: self._is_alive(server),
            )
            await relay.write_to(writer)
        finally:
            relay.close()


class _AnswerRelay:
    """Buffer the answer until it is complete, so that a retry is possible."""

    def __init__(self, body: answer_memory.BufferedAnswer) -> None:
        self._status = 0
        self._content_type = ''
        self._body = body

    def on_head(self, status: int, headers: httputil.HTTPHeaders) -> None:
        """Store the head of the answer."""
        self._status = status
        self._content_type = headers.get('Content-Type', rpc.JSON_TYPE)

    def on_chunk(self, chunk: bytes) -> None:
        """Store a chunk of the body."""
        self._body.add(chunk)

    def close(self) -> None:
        """Release the memory of the body."""
        self._body.close()

    async def write_to(self, writer: response_writer.ResponseWriter) -> None:
        """Write the complete answer; raises errors.NotStarted on a 503."""
        if self._status == HTTPStatus.SERVICE_UNAVAILABLE:
            raise errors.NotStarted(f'status {self._status}')
        writer.write_head(self._status, self._content_type)
        written = writer.write(bytes(self._body))
        if written is not None:
            await written
