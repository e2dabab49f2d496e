"""Handle callers' requests by forwarding them to backend servers."""

import asyncio
import http
import math

from oatcrank import logs
from oatcrank.forwarding import (
    caller_answer,
    caller_request,
    organisation_gate,
    refusal,
    request_dependencies,
    request_execution,
    wire_protocol,
)
from oatcrank.routing import route
from oatcrank.transport import caller_connection, message, reply

NOT_READY_RETRY_S = 0.5


class Forwarder(caller_connection.Handler):
    """Find the route of each request and execute the request."""

    def __init__(
        self, dependencies: request_dependencies.RequestDependencies
    ) -> None:
        """Create a forwarder with the dependencies that requests share."""
        self._dependencies = dependencies
        self._gate = organisation_gate.OrganisationGate(
            dependencies.wire_protocol,
            dependencies.routes,
            dependencies.quotas,
        )
        self.leaving = False
        self._accepts_until_s = math.inf

    def leave(
        self, stop_deadline_s: float, accepts_until_s: float = math.inf
    ) -> None:
        """Close connections after their answers and limit waits.

        Requests that are not handled before accepts_until_s are refused,
        since the stop may cut off their answers.  Those whose answers have not
        begun at stop_deadline_s are given up then.
        """
        self.leaving = True
        self._accepts_until_s = accepts_until_s
        self._dependencies.stop_deadline_s = stop_deadline_s
        self._dependencies.servers.notify_change()
        asyncio.get_running_loop().call_at(
            stop_deadline_s, self._dependencies.unanswered.give_up
        )

    async def handle(self, request: message.Request, out: reply.Reply) -> None:
        """Answer one request."""
        if self.leaving:
            out.close_if_last()
        try:
            decoded = self._dependencies.wire_protocol.decode_request(request)
        except wire_protocol.MalformedRequest as error:
            _answer_malformed(request, str(error), out)
            return
        try:
            self._check_not_stopping()
            configuration = self._configuration()
        except refusal.RequestRefused as refused:
            self._refuse(decoded, refused, out)
            return
        await self._forward(request, decoded, configuration, out)

    async def _forward(
        self,
        raw: message.Request,
        request: caller_request.CallerRequest,
        configuration: route.Configuration,
        out: reply.Reply,
    ) -> None:
        """Serve a request on the route that it names."""
        found_route = self._dependencies.routes.find(request.host, request.path)
        if found_route is None:
            logs.event(
                'route_not_found',
                request=request.request_id,
                host=request.host,
                path=request.path,
                version=configuration.version,
            )
            out.answer(http.HTTPStatus.NOT_FOUND, [], b'')
            return
        if found_route.streaming and request.names_unreadable_event:
            # Any other place to go on from would repeat or leave out events.
            _answer_malformed(raw, 'the last event has an unreadable id', out)
            return
        if self._is_down(found_route):
            sends_before = request.earlier_sends
            await self._relay(raw, request, found_route, out, sends_before)
            return
        sends = await self._execute(request, found_route, out)
        if sends is not None:
            await self._relay(raw, request, found_route, out, sends)

    def _refuse(
        self,
        request: caller_request.CallerRequest,
        refused: refusal.RequestRefused,
        out: reply.Reply,
    ) -> None:
        """Refuse a request; an instance that sent it on asks the next."""
        logs.event(
            'request_refused', request=request.request_id, reason=refused.reason
        )
        headers = caller_answer.retry_after_headers(refused.retry_after_s)
        if request.relayed:
            headers.extend(
                self._dependencies.wire_protocol.unreached(
                    request.earlier_sends
                )
            )
        out.answer(http.HTTPStatus.SERVICE_UNAVAILABLE, headers, b'')

    def _check_not_stopping(self) -> None:
        """Raise RequestRefused if the stop may cut off an answer."""
        if self._dependencies.now() >= self._accepts_until_s:
            raise refusal.InstanceStopping

    def _configuration(self) -> route.Configuration:
        """Return the configuration, or raise RequestRefused."""
        configuration = self._dependencies.routes.configuration
        if configuration is None:
            raise refusal.RequestRefused(
                'no configuration received yet', NOT_READY_RETRY_S
            )
        return configuration

    def _is_down(self, request_route: route.Route) -> bool:
        """Return whether this instance reaches no server of a route."""
        now_s = self._dependencies.now()
        return all(
            self._dependencies.links.of_service(share.service).is_down(now_s)
            for share in request_route.shares
        )

    async def _relay(
        self,
        raw: message.Request,
        request: caller_request.CallerRequest,
        request_route: route.Route,
        out: reply.Reply,
        sends: int,
    ) -> None:
        """Send a request through another instance, but only once.

        So many sends of it have reached servers, which declined it.
        """
        if request.relayed:
            logs.event(
                'request_refused',
                request=request.request_id,
                reason='this instance reaches no server either',
            )
            out.answer(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                self._dependencies.wire_protocol.unreached(sends),
                b'',
            )
            return
        await self._dependencies.peer_relay.relay(
            raw,
            request,
            request_route,
            out,
            self._dependencies.unanswered,
            sends=sends,
        )

    async def _execute(
        self,
        request: caller_request.CallerRequest,
        request_route: route.Route,
        out: reply.Reply,
    ) -> int | None:
        """Execute a request that is within its organisation's quota.

        If it was not answered, since no server was reached, return how many
        sends of it have reached servers, which declined it.
        """
        try:
            async with self._dependencies.unanswered.limit(out, None):
                admission = await self._gate.admit(request, request_route)
        except refusal.InstanceStopping as stopping:
            self._refuse(request, stopping, out)
            return None
        except organisation_gate.KeyRefused as refused:
            out.answer(
                http.HTTPStatus.UNAUTHORIZED,
                self._dependencies.wire_protocol.challenge(),
                f'key {refused}'.encode(),
            )
            return None
        except organisation_gate.QuotaExceeded as exceeded:
            out.answer(
                http.HTTPStatus.TOO_MANY_REQUESTS,
                caller_answer.retry_after_headers(exceeded.retry_after_s)
                if exceeded.retry_after_s is not None
                else [],
                str(exceeded).encode(),
            )
            return None
        execution = request_execution.RequestExecution(
            self._dependencies, request, admission.route, out
        )
        try:
            await execution.run()
        finally:
            if execution.has_not_run:
                admission.give_back()
        return execution.sends_that_reached if execution.is_unreached else None


def _answer_malformed(
    request: message.Request, reason: str, out: reply.Reply
) -> None:
    """Answer a request that can't be forwarded as its caller means it."""
    logs.event('request_malformed', reason=reason, peer=request.peer)
    out.answer(http.HTTPStatus.BAD_REQUEST, [], reason.encode())
