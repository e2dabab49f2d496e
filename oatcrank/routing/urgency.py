"""Order requests by the priority of their organisation, then of their route.

Load pattern: organisations of different priority send requests of urgent and
less urgent routes to the same servers.
"""

from collections.abc import Collection

LOWEST_PRIORITY = 9


class Urgency:
    """Priorities of requests, from 0, the most urgent, to LOWEST_PRIORITY."""

    def __init__(
        self,
        organisation_priorities: Collection[int | None],
        route_priorities: Collection[int],
    ) -> None:
        """Rank the pairs of priorities that requests can have."""
        pairs = sorted(
            (own, of_route)
            for own in organisation_priorities
            for of_route in route_priorities
            if own is not None
        )
        scale = max(1, len(pairs) / (LOWEST_PRIORITY + 1))
        self._priority_by_pair = {
            pair: int(rank / scale) for rank, pair in enumerate(pairs)
        }

    def priority(self, own: int | None, of_route: int) -> int:
        """Return the priority of an organisation's request on a route."""
        if own is None:
            return of_route
        return self._priority_by_pair.get((own, of_route), of_route)
