"""Request placements from the holder of the order lease."""

import asyncio
import time

from oatcrank import errors, ids, logs
from oatcrank.cluster import (
    demand_counter,
    lease_holder,
    members,
    order_lease,
    peer_messages,
    peers,
)
from oatcrank.forwarding import placement_requester
from oatcrank.orders import (
    boot_clock,
    demand,
    order_coordinator,
    placement_status,
)
from oatcrank.routing import need, server_table

REQUEST_TIMEOUT_S = 1.0
NO_HOLDER_RETRY_S = 1.0
REPORT_INTERVAL_S = 0.5


class RemotePlacementRequester(placement_requester.PlacementRequester):
    """Send placement requests, merged per need, and periodic demand reports."""

    def __init__(
        self,
        lease: order_lease.OrderLease,
        coordinator: order_coordinator.OrderCoordinator,
        members: members.Members,
        servers: server_table.ServerTable,
    ) -> None:
        """Use this instance's order coordinator while it holds the lease."""
        self._lease = lease
        self._coordinator = coordinator
        self._members = members
        self._servers = servers
        self._client = peers.Client()
        self._counter = demand_counter.DemandCounter()
        self._recent = demand.DemandWindow()
        self._reported_to: lease_holder.LeaseHolder | None = None
        self._request_by_key: dict[
            tuple[need.Need, ids.SoftwareVersion | None],
            asyncio.Task[placement_requester.PlacementResult],
        ] = {}

    def record_demand(self, wanted: need.Need) -> None:
        """Count a request for a model."""
        if wanted.model is not None:
            self._counter.record_demand(wanted, time.monotonic())

    def record_start(self, server_id: ids.ServerId, wanted: need.Need) -> None:
        """Record that a server starts a request for a model."""
        if wanted.model is not None:
            self._counter.record_start(server_id, wanted)

    def record_end(
        self,
        server_id: ids.ServerId,
        wanted: need.Need,
        seconds: float,
    ) -> None:
        """Record that a request ended, and how long the server was busy."""
        if wanted.model is not None:
            self._counter.record_end(server_id, wanted, seconds)

    async def request_placement(
        self,
        wanted: need.Need,
        required_version: ids.SoftwareVersion | None = None,
    ) -> placement_requester.PlacementResult:
        """Request a placement, or join one in progress for the same need."""
        key = (wanted, required_version)
        request = self._request_by_key.get(key)
        if request is None:
            request = asyncio.ensure_future(
                self._request(wanted, required_version)
            )
            self._request_by_key[key] = request
            request.add_done_callback(
                lambda _: self._request_by_key.pop(key, None),
            )
        return await asyncio.shield(request)

    async def run(self) -> None:
        """Report demand to the holder until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            await self._report()

    async def _request(
        self,
        wanted: need.Need,
        required_version: ids.SoftwareVersion | None,
    ) -> placement_requester.PlacementResult:
        query = peer_messages.PlacementQuery(
            wanted=wanted,
            unusable=self._unusable(wanted, required_version),
        )
        try:
            reply = await self._ask(query)
        except (peers.PeerUnreachable, errors.PlatformError) as error:
            logs.event(
                'placement_request_failed', model=wanted.model, error=error
            )
            return placement_requester.PlacementResult(
                ready_in_s=NO_HOLDER_RETRY_S,
                refusal_reason='the holder of the order lease is unreachable',
            )
        if reply.server_id is not None:
            server = self._servers.by_id.get(reply.server_id)
            if server is not None:
                server.add_held(wanted)
        return placement_requester.PlacementResult(
            ready_in_s=reply.wait_s,
            refusal_reason=reply.refusal_reason,
            unplaceable=reply.unplaceable,
        )

    async def _ask(
        self,
        query: peer_messages.PlacementQuery,
    ) -> peer_messages.PlacementReply:
        holder = self._lease.newest_holder()
        if holder is None:
            return peer_messages.PlacementReply(
                wait_s=NO_HOLDER_RETRY_S,
                refusal_reason='no instance holds the order lease',
            )
        reply = await self._ask_holder(holder, query)
        if reply.holder is None or reply.holder.fence <= holder.fence:
            return reply
        self._lease.record_holder(reply.holder)
        return await self._ask_holder(reply.holder, query)

    async def _ask_holder(
        self,
        holder: lease_holder.LeaseHolder,
        query: peer_messages.PlacementQuery,
    ) -> peer_messages.PlacementReply:
        if holder.instance_id == self._members.own.instance_id:
            return await handle_query(self._coordinator, self._lease, query)
        return await self._client.send(
            holder.peer_address,
            'arrange',
            query,
            peer_messages.PlacementReply,
            REQUEST_TIMEOUT_S,
        )

    def _unusable(
        self,
        wanted: need.Need,
        required_version: ids.SoftwareVersion | None,
    ) -> tuple[ids.ServerId, ...]:
        now_s = time.monotonic()
        return tuple(
            server.server_id
            for server in self._servers.of_service(wanted.service)
            if not server.has_version(required_version)
            or (server.holds(wanted) and not server.is_usable(now_s))
        )

    def _demand_report(
        self,
        holder: lease_holder.LeaseHolder,
    ) -> peer_messages.DemandReport:
        """Return the demand since the last report.

        A new holder receives the demand of the whole window instead.
        """
        now_s = time.monotonic()
        samples = self._counter.take_samples(now_s)
        for sample in samples:
            self._recent.note(sample, now_s)
        is_new = holder != self._reported_to
        self._reported_to = holder
        return peer_messages.DemandReport(
            reporter=self._members.own.instance_id,
            samples=self._recent.summary(now_s) if is_new else samples,
            span_s=self._recent.coverage_s(now_s)
            if is_new
            else REPORT_INTERVAL_S,
            running=self._counter.running(),
        )

    async def _report(self) -> None:
        holder = self._lease.newest_holder()
        if holder is None:
            return
        report = self._demand_report(holder)
        if not (report.samples or report.running):
            return
        if holder.instance_id == self._members.own.instance_id:
            add_report(self._coordinator, report)
            return
        try:
            await self._client.send(
                holder.peer_address,
                'demand',
                report,
                peer_messages.Acknowledgement,
                REQUEST_TIMEOUT_S,
            )
        except peers.PeerUnreachable as error:
            logs.event('demand_report_failed', error=error)


async def handle_query(
    coordinator: order_coordinator.OrderCoordinator,
    lease: order_lease.OrderLease,
    query: peer_messages.PlacementQuery,
) -> peer_messages.PlacementReply:
    """Handle a placement request at the order coordinator."""
    try:
        placed = await coordinator.request_placement(
            query.wanted, query.unusable
        )
    except placement_status.PlacementError as error:
        logs.event(
            'placement_refused',
            model=query.wanted.model,
            adapter=query.wanted.adapter or '',
            reason=error,
            retry_after_s=error.retry_after_s,
        )
        return peer_messages.PlacementReply(
            wait_s=error.retry_after_s,
            refusal_reason=str(error),
            unplaceable=error.unplaceable,
            holder=lease.newest_holder(),
        )
    return peer_messages.PlacementReply(
        wait_s=placed.wait_s,
        server_id=placed.server_id,
    )


def add_report(
    coordinator: order_coordinator.OrderCoordinator,
    report: peer_messages.DemandReport,
) -> None:
    """Add a report to the demand that the order coordinator considers."""
    now_s = boot_clock.now()
    coordinator.runs.update(report.reporter, report.running, now_s)
    coordinator.demand.extend_coverage(report.span_s, now_s)
    for sample in report.samples:
        coordinator.demand.note(sample, now_s)
