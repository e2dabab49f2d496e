"""Define the dependencies of request execution."""

import math
import random
import time

import msgspec

from oatcrank.forwarding import (
    crash_guard,
    peer_relay,
    placement_requester,
    prompt_scheduler,
    quotas,
    server_limiter,
    stream_origins,
    unanswered_requests,
    wire_protocol,
)
from oatcrank.routing import (
    brittle_servers,
    retry_budgets,
    route_table,
    server_links,
    server_selection,
    server_table,
)


class RequestDependencies(msgspec.Struct):
    """Dependencies that all requests share."""

    wire_protocol: wire_protocol.WireProtocol
    routes: route_table.RouteTable
    servers: server_table.ServerTable
    server_selector: server_selection.ServerSelector
    retry_budgets: retry_budgets.RetryBudgets
    placement_requester: placement_requester.PlacementRequester
    prompt_scheduler: prompt_scheduler.PromptScheduler
    stream_origins: stream_origins.StreamOrigins
    crash_guard: crash_guard.CrashGuard
    server_limiter: server_limiter.ServerLimiter
    brittle_servers: brittle_servers.BrittleServers
    quotas: quotas.Quotas
    links: server_links.ServerLinks
    peer_relay: peer_relay.PeerRelay
    rng: random.Random
    unanswered: unanswered_requests.UnansweredRequests = msgspec.field(
        default_factory=unanswered_requests.UnansweredRequests
    )
    # Monotonic time by which this instance stops, if it is shutting down.
    stop_deadline_s: float = math.inf

    def now(self) -> float:
        """Return the monotonic time in seconds, as used for timeouts."""
        return time.monotonic()
