"""Running requests per server, as reported by the instances."""

import collections
from collections.abc import Iterable

import msgspec

from oatcrank import ids
from oatcrank.routing import need

# Older reports of an instance are ignored.
STALE_S = 1.5


class Running(msgspec.Struct, frozen=True):
    """Number of an instance's requests with one need at a server."""

    server_id: ids.ServerId
    wanted: need.Need
    count: int = msgspec.field(name='times')


class _InstanceReport(msgspec.Struct):
    """The newest report of one instance."""

    received_s: float
    count_by_use: dict[tuple[ids.ServerId, need.Need], int]


class Runs:
    """Sum the newest reports of all instances."""

    def __init__(self) -> None:
        """Start without reports."""
        self._report_by_id: dict[ids.InstanceId, _InstanceReport] = {}

    def update(
        self,
        instance_id: ids.InstanceId,
        running: Iterable[Running],
        now_s: float,
    ) -> None:
        """Replace an instance's report of its running requests."""
        count_by_use: collections.Counter[tuple[ids.ServerId, need.Need]] = (
            collections.Counter()
        )
        for entry in running:
            wanted = entry.wanted
            count_by_use[entry.server_id, wanted] += entry.count
            if wanted.adapter is not None:
                model = need.Need(wanted.service, wanted.model)
                count_by_use[entry.server_id, model] += entry.count
        self._report_by_id[instance_id] = _InstanceReport(now_s, count_by_use)

    def count(
        self,
        server_id: ids.ServerId,
        wanted: need.Need,
        now_s: float,
    ) -> int:
        """Return how many requests run at a server for a model or adapter."""
        return sum(
            report.count_by_use.get((server_id, wanted), 0)
            for report in self._report_by_id.values()
            if now_s - report.received_s <= STALE_S
        )

    def by_model(
        self, service: ids.ServiceName, now_s: float
    ) -> collections.Counter[ids.ModelName]:
        """Return how many requests of a service run for each model."""
        running: collections.Counter[ids.ModelName] = collections.Counter()
        for report in self._report_by_id.values():
            if now_s - report.received_s > STALE_S:
                continue
            for (_, wanted), count in report.count_by_use.items():
                if wanted.service != service or wanted.model is None:
                    continue
                # A request for an adapter is counted for its model, too.
                if wanted.adapter is None:
                    running[wanted.model] += count
        return running
