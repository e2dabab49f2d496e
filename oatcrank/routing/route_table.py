"""Find the route of a request: by host, then the longest prefix."""

from oatcrank.routing import route


class RouteTable:
    """Look routes up in the newest configuration seen."""

    def __init__(self) -> None:
        """Know no configuration yet."""
        self.configuration: route.Configuration | None = None
        self._by_prefix_by_host: dict[str, dict[str, route.Route]] = {}

    def replace(self, newest: route.Configuration) -> bool:
        """Take a configuration unless a newer one is in force."""
        current = self.configuration
        if current is not None and newest.version <= current.version:
            return False
        by_host: dict[str, dict[str, route.Route]] = {}
        for one in newest.routes:
            by_host.setdefault(one.host.lower(), {})[one.prefix] = one
        self._by_prefix_by_host = by_host
        self.configuration = newest
        return True

    def find(self, host: str, path: str) -> route.Route | None:
        """Return the route with the longest prefix of the path."""
        by_prefix = self._by_prefix_by_host.get(host.lower())
        if by_prefix is None:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end) + 1
            found = by_prefix.get(path[:end])
            if found is not None:
                return found
            end -= 1
        return None
