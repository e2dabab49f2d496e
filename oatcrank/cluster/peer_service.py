"""Handle messages from other instances and broadcast updates to them."""

import asyncio
from collections.abc import Collection

import msgspec

from oatcrank import ids, logs
from oatcrank.cluster import (
    crash_messages,
    lease_holder,
    members,
    order_lease,
    peer_messages,
    peers,
    remote_placement_requester,
    shared_stream_origins,
    stream_origin_messages,
)
from oatcrank.forwarding import crash_guard
from oatcrank.orders import order_coordinator
from oatcrank.routing import (
    crash,
    crashing_parts,
    crashing_requests,
    need,
    server_process,
    server_table,
)

BROADCAST_TIMEOUT_S = 1.0


class PeerService(peers.Peer, crash_guard.CrashPublisher):
    """Serve the order coordinator, order lease and crash record to peers."""

    def __init__(
        self,
        coordinator: order_coordinator.OrderCoordinator,
        lease: order_lease.OrderLease,
        crashing_requests: crashing_requests.CrashingRequests,
        crashing_parts: crashing_parts.CrashingParts,
        members: members.Members,
        servers: server_table.ServerTable,
        origins: shared_stream_origins.SharedStreamOrigins,
    ) -> None:
        """Serve the components of one instance."""
        self._coordinator = coordinator
        self._lease = lease
        self._crashing_requests = crashing_requests
        self._crashing_parts = crashing_parts
        self._members = members
        self._servers = servers
        self._origins = origins
        self._client = peers.Client()
        self._broadcast_tasks: set[asyncio.Task[None]] = set()

    async def request_placement(
        self,
        query: peer_messages.PlacementQuery,
    ) -> peer_messages.PlacementReply:
        """Place a model or adapter on a backend server."""
        return await remote_placement_requester.handle_query(
            self._coordinator, self._lease, query
        )

    async def report_demand(
        self,
        report: peer_messages.DemandReport,
    ) -> peer_messages.Acknowledgement:
        """Record the demand that another instance reports."""
        remote_placement_requester.add_report(self._coordinator, report)
        return peer_messages.Acknowledgement()

    async def report_crashes(
        self,
        report: crash_messages.CrashReport,
    ) -> peer_messages.Acknowledgement:
        """Record requests that a peer suspects of crashing servers."""
        now_s = asyncio.get_running_loop().time()
        reported = crash.Crash(
            crash_id=server_process.ServerProcess(
                report.server_id, report.started_ms
            ),
            requests=report.requests,
            prompts=report.prompts,
            answered_prompts=report.answered_prompts,
            often_answered=report.often_answered,
        )
        self._crashing_requests.record_crash(reported, now_s)
        self._crashing_parts.record_crash(reported, now_s)
        logs.event(
            'suspects_reported',
            server=report.server_id,
            suspects=len(report.requests),
            fingerprints=crash.fingerprints_text(
                key.whole for key in report.requests
            ),
            prompts=len(reported.suspects),
        )
        return peer_messages.Acknowledgement()

    async def clear_answered(
        self,
        answered: crash_messages.Answered,
    ) -> peer_messages.Acknowledgement:
        """Clear what a server has answered of what was suspected."""
        answered_s = asyncio.get_running_loop().time() - answered.age_s
        self._crashing_parts.clear(answered.parts, answered_s)
        self._crashing_requests.clear(answered.fingerprints, answered_s)
        logs.event(
            'crash_causes_answered',
            parts=','.join(answered.parts),
            fingerprints=crash.fingerprints_text(answered.fingerprints),
            age_s=round(answered.age_s, 3),
        )
        return peer_messages.Acknowledgement()

    async def announce_unload(
        self,
        notice: peer_messages.UnloadNotice,
    ) -> peer_messages.Acknowledgement:
        """Stop routing requests for a model that a server is unloading."""
        server = self._servers.by_id.get(notice.server_id)
        if server is not None:
            server.remove_held(notice.unloaded)
        return peer_messages.Acknowledgement()

    async def confirm_holder(
        self,
        query: peer_messages.ConfirmQuery,
    ) -> peer_messages.Confirmation:
        """Return whether a holder is the newest known to this instance."""
        return self._lease.confirm_holder(query)

    async def announce_holder(
        self,
        new_holder: lease_holder.LeaseHolder,
    ) -> peer_messages.Acknowledgement:
        """Record the new holder of the order lease."""
        self._lease.record_holder(new_holder)
        return peer_messages.Acknowledgement()

    async def request_stop(
        self,
        query: peer_messages.StopQuery,
    ) -> peer_messages.StopReply:
        """Stop sending orders under older fences."""
        return self._lease.stop_for_successor(query)

    async def answer_origin(
        self,
        query: stream_origin_messages.OriginQuery,
    ) -> stream_origin_messages.OriginAnswer:
        """Return what this instance knows of a stream."""
        return self._origins.answer(query)

    async def answer_origins(
        self,
        query: stream_origin_messages.OriginsQuery,
    ) -> stream_origin_messages.KnownOrigins:
        """Return the origins of all streams that began lately."""
        return self._origins.answer_recent(query)

    def publish_crash(self, report: crash.Crash) -> None:
        """Send requests suspected of crashing servers to all peers."""
        self._broadcast(
            'crashes',
            crash_messages.CrashReport(
                requests=report.requests,
                server_id=report.crash_id.server_id,
                started_ms=report.crash_id.started_ms,
                prompts=report.prompts,
                answered_prompts=report.answered_prompts,
                often_answered=report.often_answered,
            ),
        )

    def publish_answered(
        self,
        parts: Collection[ids.PromptPart],
        request_fingerprints: Collection[ids.RequestFingerprint],
        answered_s: float,
    ) -> None:
        """Send what a server has answered of what was suspected to all."""
        age_s = asyncio.get_running_loop().time() - answered_s
        self._broadcast(
            'answered-parts',
            crash_messages.Answered(
                parts=tuple(parts),
                fingerprints=tuple(request_fingerprints),
                age_s=max(0, age_s),
            ),
        )

    def broadcast_unload(
        self,
        server_id: ids.ServerId,
        unloaded: need.Need,
    ) -> None:
        """Stop all instances from routing requests for a model to a server."""
        server = self._servers.by_id.get(server_id)
        if server is not None:
            server.remove_held(unloaded)
        self._broadcast(
            'unloads',
            peer_messages.UnloadNotice(server_id=server_id, unloaded=unloaded),
        )

    def _broadcast(self, message_name: str, message: msgspec.Struct) -> None:
        for other in self._members.others():
            task = asyncio.ensure_future(
                self._send(other.peer_address, message_name, message),
            )
            self._broadcast_tasks.add(task)
            task.add_done_callback(self._broadcast_tasks.discard)

    async def _send(
        self,
        address: str,
        message_name: str,
        message: msgspec.Struct,
    ) -> None:
        try:
            await self._client.send(
                address,
                message_name,
                message,
                peer_messages.Acknowledgement,
                BROADCAST_TIMEOUT_S,
            )
        except peers.PeerUnreachable as error:
            logs.event('broadcast_failed', message=message_name, error=error)
