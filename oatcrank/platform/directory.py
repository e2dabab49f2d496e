"""Tell the platform's callers which address to use, and its checks."""

from tornado import web

from oatcrank.cluster import instance, peer_handlers

UNAVAILABLE = 503


class ResolveHandler(web.RequestHandler):
    """Answer where a caller should connect."""

    def initialize(self, serving: instance.Instance) -> None:
        """Answer for one instance."""
        self._serving = serving

    def get(self) -> None:
        """Name the addresses and how long to keep them, in seconds."""
        addresses = self._serving.members.fronts(
            self.get_query_argument('zone', ''),
            self.get_query_argument('region', ''),
        )
        if not addresses:
            self.set_status(UNAVAILABLE)
            return
        self.write(
            {'addresses': addresses, 'ttl_s': instance.ADDRESS_TTL_S},
        )


class ReadyHandler(web.RequestHandler):
    """Answer whether callers may come here."""

    def initialize(self, serving: instance.Instance) -> None:
        """Answer for one instance."""
        self._serving = serving

    def get(self) -> None:
        """Answer 200 or 503."""
        if not self._serving.ready:
            self.set_status(UNAVAILABLE)


def handlers(
    serving: instance.Instance,
) -> list[peer_handlers.Route]:
    """Return the routes that the platform asks."""
    own = {'serving': serving}
    return [
        ('/resolve', ResolveHandler, own),
        ('/readyz', ReadyHandler, own),
    ]
