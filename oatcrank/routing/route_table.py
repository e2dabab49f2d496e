"""Find the route of a request: by host, then the longest prefix."""

from oatcrank import ids
from oatcrank.organisations import key_table, organisation
from oatcrank.routing import route, urgency


class RouteTable:
    """Look up routes in the newest known configuration."""

    def __init__(self) -> None:
        """Start without a configuration."""
        self.configuration: route.Configuration | None = None
        # None if requests need no key.
        self.keys: key_table.KeyTable | None = None
        self.organisation_by_name: dict[
            ids.OrganisationName, organisation.Organisation
        ] = {}
        self.urgency = urgency.Urgency((), ())
        self._routes_by_host: dict[str, dict[str, route.Route]] = {}

    def replace(self, newest: route.Configuration) -> bool:
        """Apply a configuration, unless the current one is as new.

        Return whether it was applied.
        """
        current = self.configuration
        if current is not None and newest.version <= current.version:
            return False
        by_host: dict[str, dict[str, route.Route]] = {}
        for configured in newest.routes:
            by_host.setdefault(configured.host.lower(), {})[
                configured.prefix
            ] = configured
        self._routes_by_host = by_host
        self._replace_organisations(newest)
        self.configuration = newest
        return True

    def find(self, host: str, path: str) -> route.Route | None:
        """Return the route with the longest prefix of the path."""
        by_prefix = self._routes_by_host.get(host.lower())
        if by_prefix is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end) + 1
            matched = by_prefix.get(path[:end])
            if matched is not None:
                return matched
            end -= 1
        return None

    def _replace_organisations(self, newest: route.Configuration) -> None:
        holders = newest.organisations or ()
        self.keys = None
        if newest.organisations is not None:
            self.keys = key_table.KeyTable(holders)
        self.organisation_by_name = {holder.name: holder for holder in holders}
        self.urgency = urgency.Urgency(
            {holder.priority for holder in holders},
            {configured.priority for configured in newest.routes},
        )
