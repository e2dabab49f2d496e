"""Build and run the components of one instance."""

import asyncio
import random
import time

import msgspec

from oatcrank import background, ids, logs, metrics
from oatcrank.cluster import (
    change_relay,
    cluster_bounds,
    crash_cause_records,
    datagram_endpoint,
    distributed_prompt_scheduler,
    distributed_quotas,
    distributed_server_limiter,
    instance_dependencies,
    leaving_notices,
    limited_order_sender,
    member,
    members,
    order_lease,
    peer_service,
    peers,
    relay_follower,
    remote_placement_requester,
    session,
    shared_stream_origins,
    stop_schedule,
    store_mirror,
    stream_origin_transfer,
    table_updater,
    version_records,
)
from oatcrank.forwarding import (
    crash_guard,
    forwarder,
    link_prober,
    peer_relay,
    request_dependencies,
)
from oatcrank.orders import order_coordinator
from oatcrank.routing import (
    brittle_servers,
    crash_causes,
    crashing_parts,
    crashing_requests,
    retry_budgets,
    route_table,
    server_links,
    server_selection,
    server_table,
)
from oatcrank.transport import caller_connection, caller_listener, limits

READY_POLL_INTERVAL_S = 0.05
IDLE_POLL_INTERVAL_S = 0.05
PRUNE_INTERVAL_S = 0.5


class Instance:
    """Serve callers, stay registered, and send orders under the order lease."""

    def __init__(
        self,
        own: member.Member,
        bounds: cluster_bounds.Bounds,
        dependencies: instance_dependencies.InstanceDependencies,
        read_tokens_per_s: float,
    ) -> None:
        """Build all components without starting them."""
        self._bounds = bounds
        rng = random.Random()  # noqa: S311
        self.members = members.Members(own)
        self.routes = route_table.RouteTable()
        self.servers = server_table.ServerTable()
        parts = crashing_parts.CrashingParts()
        requests = crashing_requests.CrashingRequests()
        causes_by_kind: crash_causes.CausesByKind = {
            crash_causes.Kind.prompt_part: parts,
            crash_causes.Kind.request: requests,
        }
        self._table_updater = table_updater.TableUpdater(
            dependencies.codec,
            self.routes,
            self.servers,
            self.members,
            causes_by_kind,
        )
        follower = relay_follower.RelayFollower(self.members, peers.Client())
        self._mirror = store_mirror.StoreMirror(
            dependencies.store, self._table_updater, rng, follower
        )
        self.relay = change_relay.ChangeRelay(self._mirror, follower)
        self._session = session.Session(
            dependencies.store,
            self.members,
            self._mirror,
        )
        self._datagrams = datagram_endpoint.DatagramEndpoint()
        self._server_limiter = (
            distributed_server_limiter.DistributedServerLimiter(
                self.members, self.servers, self._datagrams, rng
            )
        )
        self._leaving_notices = leaving_notices.LeavingNotices(
            self.members, self.servers, self._datagrams
        )
        self._quotas = distributed_quotas.DistributedQuotas(
            self.members,
            self.routes,
            self._datagrams,
            rng,
            bounds.quota_tolerance,
        )
        self._links = server_links.ServerLinks()
        self._prober = link_prober.LinkProber(self._links, self.servers, rng)
        self._coordinator = order_coordinator.OrderCoordinator(
            instance_id=own.instance_id,
            servers=self.servers,
            routes=self.routes,
            sender=limited_order_sender.LimitedOrderSender(
                dependencies.sender, self._server_limiter
            ),
        )
        self._coordinator.apply_load_ceiling(bounds.load_ceiling)
        self._order_lease = order_lease.OrderLease(
            store_client=dependencies.store,
            mirror=self._mirror,
            members=self.members,
            session=self._session,
            coordinator=self._coordinator,
            lease_duration_s=bounds.order_lease_duration_s,
            peer_client=peers.Client(),
        )
        self._placement_requester = (
            remote_placement_requester.RemotePlacementRequester(
                self._order_lease,
                self._coordinator,
                self.members,
                self.servers,
            )
        )
        self._prompt_scheduler = (
            distributed_prompt_scheduler.DistributedPromptScheduler(
                self.members,
                self._datagrams,
                read_tokens_per_s,
            )
        )
        self._version_records = version_records.VersionRecords(
            dependencies.store,
            self._mirror,
            self.members,
            self.servers,
        )
        self._crash_records = crash_cause_records.CrashCauseRecords(
            dependencies.store, self._mirror, self.members, causes_by_kind
        )
        origins = shared_stream_origins.SharedStreamOrigins(
            self.members,
            self._version_records,
            self._datagrams,
            peers.Client(),
        )
        self._origin_transfer = stream_origin_transfer.StreamOriginTransfer(
            self.members, self._mirror, origins, peers.Client()
        )
        self.peer = peer_service.PeerService(
            self._coordinator,
            self._order_lease,
            requests,
            parts,
            self.members,
            self.servers,
            origins,
        )
        self._coordinator.set_unload_listener(self.peer.broadcast_unload)
        self._retries = retry_budgets.RetryBudgets(
            ratio=bounds.retry_ratio,
            allowance=bounds.retry_allowance,
            window_s=bounds.retry_window_s,
            instances=lambda: self.members.peak_count,
            began_s=time.monotonic(),
        )
        guard = crash_guard.CrashGuard(requests, parts, self.peer)
        self.servers.listen_for_added(guard.record_registered)
        self._forwarder = forwarder.Forwarder(
            request_dependencies.RequestDependencies(
                wire_protocol=dependencies.wire_protocol,
                routes=self.routes,
                servers=self.servers,
                server_selector=server_selection.ServerSelector(
                    own.failure_domain, rng
                ),
                retry_budgets=self._retries,
                placement_requester=self._placement_requester,
                prompt_scheduler=self._prompt_scheduler,
                stream_origins=origins,
                crash_guard=guard,
                server_limiter=self._server_limiter,
                brittle_servers=brittle_servers.BrittleServers(
                    self.members.ready_count, self.members.is_ranked, rng
                ),
                quotas=self._quotas,
                links=self._links,
                peer_relay=peer_relay.PeerRelay(
                    dependencies.wire_protocol,
                    self.members.other_caller_addresses,
                    rng,
                    self.servers,
                ),
                rng=rng,
            ),
        )
        self._budget = dependencies.budget
        self._open_connections: set[caller_connection.CallerConnection] = set()
        self._server: asyncio.Server | None = None
        self._background = background.Background(metrics.NoMetrics())

    @property
    def ready(self) -> bool:
        """Return whether callers should use this instance."""
        return self.members.own.ready

    def update_bounds(self, bounds: cluster_bounds.Bounds) -> None:
        """Apply changed bounds to the running instance."""
        self._bounds = bounds
        self._quotas.apply_tolerance(bounds.quota_tolerance)
        self._order_lease.lease_duration_s = bounds.order_lease_duration_s
        self._coordinator.apply_load_ceiling(bounds.load_ceiling)
        self._retries.set_limits(
            ratio=bounds.retry_ratio,
            allowance=bounds.retry_allowance,
            window_s=bounds.retry_window_s,
        )

    async def start(self, host: str, port: int) -> None:
        """Listen for callers and start following the store."""
        self._server = await caller_listener.listen(
            self._create_connection, host, port
        )
        await self._datagrams.start(self.members.own.datagram_address)
        for name, work in (
            ('mirror', self._mirror.run),
            ('session', self._session.run),
            ('order_lease', self._order_lease.run),
            ('replica_placement', self._order_lease.add_replicas),
            ('overdue_orders', self._order_lease.refresh_overdue),
            ('demand', self._placement_requester.run),
            ('version_records', self._version_records.run),
            ('stream_origins', self._origin_transfer.run),
            ('crash_cause_records', self._crash_records.run),
            ('link_probes', self._prober.run),
            ('order_hand_over', self._hand_over_when_cut_off),
            ('readiness', self._become_ready),
            ('connection_pruning', self._prune),
        ):
            self._background.start(name, work)

    async def stop(self) -> None:
        """Stop gracefully: requests in progress can finish."""
        loop = asyncio.get_running_loop()
        times = stop_schedule.schedule(loop.time(), self._bounds.stop_timeout_s)
        self._forwarder.leave(times.give_up_s, times.accepts_until_s)
        self._set_ready(ready=False)
        self._background.start('order_lease_release', self._order_lease.release)
        await asyncio.sleep(times.accepts_until_s - loop.time())
        if self._server is not None:
            self._server.close()
        await self._finish_connections(times.connections_end_s)
        self._coordinator.stop()
        self._datagrams.close()
        closing = asyncio.ensure_future(self._close())
        await asyncio.wait((closing,), timeout=times.ends_s - loop.time())

    async def _finish_connections(self, end_s: float) -> None:
        """Close connections as they become idle, until a time."""
        loop = asyncio.get_running_loop()
        while self._open_connections and loop.time() < end_s:
            for connection in tuple(self._open_connections):
                connection.close_if_idle()
            await asyncio.sleep(IDLE_POLL_INTERVAL_S)
        if self._open_connections:
            logs.event(
                'stop_closed_connections',
                connections=len(self._open_connections),
            )

    async def _close(self) -> None:
        await self._session.close()
        await self._background.close()

    def _create_connection(self) -> caller_connection.CallerConnection:
        return caller_connection.CallerConnection(
            self._forwarder,
            self._limits,
            self._open_connections,
            self._budget,
        )

    def _limits(self) -> limits.Limits:
        if self.routes.configuration is None:
            return limits.Limits()
        return self.routes.configuration.limits

    async def _become_ready(self) -> None:
        while self.routes.configuration is None:  # noqa: ASYNC110
            await asyncio.sleep(READY_POLL_INTERVAL_S)
        if not self._forwarder.leaving:
            self._set_ready(ready=True)

    async def _hand_over_when_cut_off(self) -> None:
        """Leave the order lease to instances that reach the model servers."""
        was_cut = False
        while True:
            await asyncio.sleep(PRUNE_INTERVAL_S)
            is_cut = any(
                self._links.of_service(name).is_cut
                for name in self._model_services()
            )
            if is_cut and not was_cut:
                await self._order_lease.hand_over()
            was_cut = is_cut

    def _model_services(self) -> list[ids.ServiceName]:
        configuration = self.routes.configuration
        if configuration is None:
            return []
        return [
            service.name
            for service in configuration.service_by_name.values()
            if service.engine is not None
        ]

    async def _prune(self) -> None:
        while True:
            await asyncio.sleep(PRUNE_INTERVAL_S)
            for server in self.servers.by_id.values():
                server.pool.prune()

    def _set_ready(self, *, ready: bool) -> None:
        self.members.own = msgspec.structs.replace(
            self.members.own,
            ready=ready,
        )
        logs.event('readiness', ready=ready)
        self._session.request_update()
