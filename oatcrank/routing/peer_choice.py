"""Choose the instances through which a request is sent.

Load pattern: most instances reach no server of a route at the same time, while
each has requests for it.
"""

import random
from collections.abc import Iterable

MAX_PEERS = 3
# An instance that has refused or not accepted is not asked for this time.
AVOID_S = 1.0
# An instance that has answered is preferred after a refusal for this time.
KNOWN_S = 10.0


class PeerChoice:
    """Remember which instances have answered and refused, by route."""

    def __init__(self, rng: random.Random) -> None:
        """Start without knowledge."""
        self._rng = rng
        self._refused_s: dict[tuple[str, str], float] = {}
        self._answered_s: dict[tuple[str, str], float] = {}
        self._failed_s: dict[str, float] = {}

    def choose(
        self, route_name: str, addresses: Iterable[str], now_s: float
    ) -> list[str]:
        """Return the instances to ask, in this order.

        The first is drawn, so that none gets more than others while most
        reach the servers; the next are those that are known to reach them.
        """
        addresses = [
            address
            for address in addresses
            if not self._is_avoided(route_name, address, now_s)
        ]
        self._rng.shuffle(addresses)
        others = sorted(
            addresses[1:],
            key=lambda address: not self._is_known(route_name, address, now_s),
        )
        return [*addresses[:1], *others][:MAX_PEERS]

    def record_failed(self, address: str, now_s: float) -> None:
        """Record that an instance has not accepted a connection."""
        self._failed_s[address] = now_s

    def record_refused(
        self, route_name: str, address: str, now_s: float
    ) -> None:
        """Record that an instance reaches no server of a route."""
        self._refused_s[route_name, address] = now_s
        self._answered_s.pop((route_name, address), None)

    def record_answered(
        self, route_name: str, address: str, now_s: float
    ) -> None:
        """Record that an instance has begun to answer on a route."""
        self._answered_s[route_name, address] = now_s

    def _is_avoided(self, route_name: str, address: str, now_s: float) -> bool:
        until_s = AVOID_S + max(
            self._failed_s.get(address, -AVOID_S),
            self._refused_s.get((route_name, address), -AVOID_S),
        )
        return now_s < until_s

    def _is_known(self, route_name: str, address: str, now_s: float) -> bool:
        answered_s = self._answered_s.get((route_name, address), -KNOWN_S)
        return now_s - answered_s < KNOWN_S
