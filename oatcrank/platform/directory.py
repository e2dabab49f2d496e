"""Tell the platform's callers which address to use, and its checks."""

import tornado.web

from oatcrank.cluster import instance

UNAVAILABLE = 503


class ResolveHandler(tornado.web.RequestHandler):
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


class ReadyHandler(tornado.web.RequestHandler):
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
) -> list[tuple[str, type, dict[str, object]]]:
    """Return the routes that the platform asks."""
    own = {'serving': serving}
    return [
        ('/resolve', ResolveHandler, own),
        ('/readyz', ReadyHandler, own),
    ]
