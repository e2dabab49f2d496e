"""Answer callers' requests with what backend servers answer."""

import http

from oatcrank import logs
from oatcrank.forwarding import dialect, parts, trip
from oatcrank.transport import caller_connection, message, reply

NOT_READY_RETURN_S = 0.5


class Forwarder(caller_connection.Handler):
    """Find the route of each request and send it on its trip."""

    def __init__(self, shared: parts.Parts) -> None:
        """Use the parts that all requests share."""
        self._shared = shared
        self.leaving = False

    def leave(self, stops_s: float) -> None:
        """End connections with their answers; let nothing wait for too long."""
        self.leaving = True
        self._shared.stops_s = stops_s
        self._shared.servers.note_change()

    async def handle(self, request: message.Request, out: reply.Reply) -> None:
        """Answer one request."""
        if self.leaving:
            out.keep_alive = False
        try:
            decoded = self._shared.dialect.decode(request)
        except dialect.Malformed as error:
            logs.event('request_malformed', reason=error, peer=request.peer)
            out.answer(http.HTTPStatus.BAD_REQUEST, [], str(error).encode())
            return
        if self._shared.routes.configuration is None:
            logs.event(
                'request_refused',
                request=decoded.request_id,
                reason='no configuration yet',
            )
            out.answer(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                trip.return_headers(NOT_READY_RETURN_S),
                b'',
            )
            return
        found = self._shared.routes.find(decoded.host, decoded.path)
        if found is None:
            logs.event(
                'request_unknown',
                request=decoded.request_id,
                host=decoded.host,
                path=decoded.path,
                version=self._shared.routes.configuration.version,
            )
            out.answer(http.HTTPStatus.NOT_FOUND, [], b'')
            return
        await trip.Trip(self._shared, decoded, found, out).run()
