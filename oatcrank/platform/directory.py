"""Handlers for address resolution and readiness checks."""

from tornado import web

from oatcrank.cluster import instance, peer_handlers, stop_schedule

UNAVAILABLE = 503


class ResolveHandler(web.RequestHandler):
    """Resolve the addresses that callers connect to."""

    def initialize(self, serving: instance.Instance) -> None:
        """Answer for one instance."""
        self._serving = serving

    def get(self) -> None:
        """Return the addresses and their time to live in seconds."""
        addresses = self._serving.members.caller_addresses(
            self.get_query_argument('zone', ''),
            self.get_query_argument('region', ''),
        )
        if not addresses:
            self.set_status(UNAVAILABLE)
            return
        self.write(
            {'addresses': addresses, 'ttl_s': stop_schedule.ADDRESS_TTL_S},
        )


class ReadyHandler(web.RequestHandler):
    """Readiness check."""

    def initialize(self, serving: instance.Instance) -> None:
        """Answer for one instance."""
        self._serving = serving

    def get(self) -> None:
        """Answer 200 if callers may connect, else 503."""
        if not self._serving.ready:
            self.set_status(UNAVAILABLE)


def handlers(
    serving: instance.Instance,
) -> list[peer_handlers.Route]:
    """Return the routes that the platform calls."""
    arguments = {'serving': serving}
    return [
        ('/resolve', ResolveHandler, arguments),
        ('/readyz', ReadyHandler, arguments),
    ]
