"""Know what runs where, as the instances report it."""

import collections
from collections.abc import Iterable

import msgspec

from oatcrank import ids
from oatcrank.routing import need

# What an instance reported longer ago says nothing of now.
STALE_S = 1.5


class Running(msgspec.Struct, frozen=True):
    """Say how many requests of one kind an instance has at a server."""

    server_id: ids.ServerId
    wanted: need.Need
    times: int


class _Told(msgspec.Struct):
    """Hold the newest report of one instance."""

    told_s: float
    times_by_use: dict[tuple[ids.ServerId, need.Need], int]


class Runs:
    """Sum the newest reports of all instances."""

    def __init__(self) -> None:
        """Know of no runs."""
        self._told_by_id: dict[ids.InstanceId, _Told] = {}

    def take(
        self,
        instance_id: ids.InstanceId,
        running: Iterable[Running],
        now_s: float,
    ) -> None:
        """Take all that an instance has at servers now."""
        times_by_use: collections.Counter[tuple[ids.ServerId, need.Need]] = (
            collections.Counter()
        )
        for one in running:
            wanted = one.wanted
            times_by_use[one.server_id, wanted] += one.times
            if wanted.adapter is not None:
                model = need.Need(wanted.service, wanted.model)
                times_by_use[one.server_id, model] += one.times
        self._told_by_id[instance_id] = _Told(now_s, times_by_use)

    def at(
        self,
        server_id: ids.ServerId,
        wanted: need.Need,
        now_s: float,
    ) -> int:
        """Return how many run at a server, for a model or for one adapter."""
        return sum(
            told.times_by_use.get((server_id, wanted), 0)
            for told in self._told_by_id.values()
            if now_s - told.told_s <= STALE_S
        )
