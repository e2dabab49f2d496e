"""Choose a server for a request, or request a load if none can serve it."""

from oatcrank import ids, logs
from oatcrank.forwarding import (
    caller_request,
    limited_servers,
    paused_servers,
    placement_requester,
    refusal,
    request_dependencies,
)
from oatcrank.routing import (
    admission,
    need,
    route,
    server,
    server_pause,
    server_selection,
)

NO_SERVER_RETRY_S = 0.5
MIN_CHANGE_WAIT_S = 0.01
# Limit of the total time that a request waits after refused placements.
MAX_REFUSED_WAIT_S = 0.8
EXPECTED_ANSWER_S = 0.05
# Time that a request needs after its model is loaded.
MIN_TIME_AFTER_LOAD_S = 0.3
# Time to first event of a stream that gets a slot at once.
EXPECTED_FIRST_EVENT_S = 0.1


class ServerSearch:
    """Search for a server for one request."""

    def __init__(
        self,
        dependencies: request_dependencies.RequestDependencies,
        request: caller_request.CallerRequest,
        request_route: route.Route,
        wanted: need.Need,
        deadline_s: float,
    ) -> None:
        """Search until the answer must start, at the latest at deadline_s."""
        self._dependencies = dependencies
        self._request = request
        self._route = request_route
        self._wanted = wanted
        self._deadline_s = deadline_s
        self._start_by_s = deadline_s
        self._target_by_s = request.began_s + request_route.target_s
        self.restart_patience(request.began_s)
        self._excluded_ids: set[ids.ServerId] = set()
        self._deprioritized_ids: set[ids.ServerId] = set()
        self._wait_s_by_delayed_id: dict[ids.ServerId, float] = {}
        self._limited = limited_servers.LimitedServers(
            dependencies.server_limiter, request_route
        )
        self._paused = paused_servers.PausedServers(
            request_route, request.began_s
        )
        # Software version that the server must have; None allows any.
        self.required_version: ids.SoftwareVersion | None = None
        # Whether the request goes where it interrupts the fewest others.
        self.prefers_idle = False
        self._refused_wait_s = float(0)
        self._wait_logged = False

    def exclude(self, server_id: ids.ServerId) -> None:
        """Exclude a server from the search."""
        self._excluded_ids.add(server_id)

    def deprioritize(self, server_id: ids.ServerId) -> None:
        """Choose a server again only if there is no other."""
        self._deprioritized_ids.add(server_id)

    def exclude_delayed(self, server_id: ids.ServerId, wait_s: float) -> None:
        """Exclude a server whose next prompt slot is too far away."""
        self._wait_s_by_delayed_id[server_id] = wait_s
        logs.event(
            'prompt_slot_too_late',
            request=self._request.request_id,
            server=server_id,
            wait_s=round(wait_s, 3),
        )

    def exclude_limited(self, limited: server.Server, wait_s: float) -> None:
        """Exclude a server that takes no more requests for now."""
        self._limited.exclude(limited, wait_s)

    def permit_wait_s(self, server_id: ids.ServerId) -> float:
        """Return how long the request may wait for a permit of a server."""
        return self._limited.permit_wait_s(server_id)

    def restart_patience(self, from_s: float) -> None:
        """Restart the caller's patience at the last event it received.

        A stream that resumes on another server has already started, so its
        latency target no longer applies.
        """
        if from_s > self._request.began_s:
            self._target_by_s = self._deadline_s
            self._limited.require()
            self._paused.require(from_s)
        if self._route.patience_s is not None:
            patience_deadline_s = from_s + self._route.patience_s
            self._start_by_s = min(self._deadline_s, patience_deadline_s)

    async def find(self, tried_ids: list[ids.ServerId]) -> server.Server:
        """Return a server or raise refusal.RequestRefused.

        After max_servers only servers that were already tried are allowed.
        """
        allowed_ids = frozenset[ids.ServerId]()
        if len(tried_ids) >= self._route.max_servers:
            allowed_ids = frozenset(tried_ids)
        while True:
            chosen = self._choose(allowed_ids)
            if chosen is not None:
                self._admit(chosen)
                return chosen
            if self._limited.allow_wait():
                continue
            if await self._wait_for_paused(allowed_ids):
                continue
            self._check_delayed()
            self._check_limited()
            self._check_paused(allowed_ids)
            self._check_brittle()
            if not tried_ids:
                self._check_reached()
            await self._request_placement(allowed_ids)

    def _check_reached(self) -> None:
        """Refuse the request if servers are suspended as not reached.

        It can go through another instance, before this one knows that it is
        cut off.
        """
        service = self._wanted.service
        now_s = self._dependencies.now()
        if self._dependencies.links.of_service(service).is_suspect and not any(
            candidate.is_usable(now_s)
            for candidate in self._dependencies.servers.of_service(service)
        ):
            raise refusal.ServersUnreached(
                'no server is reached', NO_SERVER_RETRY_S
            )

    def _check_delayed(self) -> None:
        """Refuse the request if all prompt slots are too late."""
        if self._wait_s_by_delayed_id:
            raise refusal.RequestRefused(
                'no server has a prompt slot in time',
                admission.jittered_s(
                    min(self._wait_s_by_delayed_id.values()),
                    self._dependencies.rng.random(),
                ),
            )

    def _check_limited(self) -> None:
        """Refuse the request if servers take no more within their limits."""
        retry_after_s = self._limited.retry_after_s()
        if retry_after_s is None:
            return
        logs.event(
            'server_limits_reached',
            request=self._request.request_id,
            servers=','.join(sorted(self._limited.excluded_ids)),
            retry_after_s=round(retry_after_s, 3),
        )
        raise refusal.RequestRefused(
            'servers take no more requests within their limits',
            retry_after_s,
        )

    def _check_brittle(self) -> None:
        """Refuse the request if only brittle servers without room are left."""
        now_s = self._dependencies.now()
        if any(
            server_id not in self._excluded_ids
            and self._dependencies.servers.by_id[server_id].is_usable(now_s)
            for server_id in self._without_room_ids()
        ):
            raise refusal.RequestRefused(
                'brittle servers have no room',
                self._dependencies.brittle_servers.return_s(),
            )

    def _without_room_ids(self) -> frozenset[ids.ServerId]:
        now_s = self._dependencies.now()
        return frozenset(
            candidate.server_id
            for candidate in self._dependencies.servers.of_service(
                self._wanted.service
            )
            if candidate.holds(self._wanted)
            and not self._dependencies.brittle_servers.has_room(
                candidate, now_s
            )
        )

    def _paused_s(self, allowed_ids: frozenset[ids.ServerId]) -> float | None:
        """Return the time until a server that is paused has a place."""
        excluded_ids = self._unavailable_ids()
        servers = self._dependencies.servers.of_service(self._wanted.service)
        return paused_servers.soonest_s(
            (
                candidate
                for candidate in servers
                if candidate.server_id not in excluded_ids
                and (not allowed_ids or candidate.server_id in allowed_ids)
                and candidate.may_serve(self._wanted, self.required_version)
            ),
            self._dependencies.now(),
        )

    async def _wait_for_paused(
        self, allowed_ids: frozenset[ids.ServerId]
    ) -> bool:
        """Wait for a server that is paused; return whether that is in time."""
        wait_s = self._paused_s(allowed_ids)
        now_s = self._dependencies.now()
        ends_s = min(self._start_by_s, self._dependencies.stop_deadline_s)
        if wait_s is None or now_s + wait_s > ends_s:
            return False
        if not self._paused.may_wait(wait_s, now_s):
            return False
        await self._dependencies.servers.wait_for_change(wait_s)
        return True

    def _check_paused(self, allowed_ids: frozenset[ids.ServerId]) -> None:
        """Refuse the request if all servers that could take it are paused.

        A model is requested at other servers instead, unless one that holds
        it returns already.
        """
        wait_s = self._paused_s(allowed_ids)
        if wait_s is None:
            return
        is_returning = wait_s <= server_pause.PLACE_POLL_S
        if self._wanted.model is not None and not is_returning:
            return
        raise refusal.RequestRefused(
            'servers want no requests for now',
            admission.jittered_s(wait_s, self._dependencies.rng.random()),
        )

    def _unavailable_ids(self) -> set[ids.ServerId]:
        return (
            self._excluded_ids
            | self._wait_s_by_delayed_id.keys()
            | self._limited.excluded_ids
            | self._without_room_ids()
        )

    def _choose(
        self, allowed_ids: frozenset[ids.ServerId]
    ) -> server.Server | None:
        excluded_ids = self._unavailable_ids()
        for excluded in (excluded_ids | self._deprioritized_ids, excluded_ids):
            chosen = self._dependencies.server_selector.choose(
                self._dependencies.servers.of_service(self._wanted.service),
                server_selection.SelectionCriteria(
                    wanted=self._wanted,
                    prefix=self._request.prefix,
                    excluded_ids=frozenset(excluded),
                    allowed_ids=allowed_ids,
                    required_version=self.required_version,
                    prefers_idle=self.prefers_idle,
                ),
                self._dependencies.now(),
            )
            if chosen is not None:
                return chosen
        return None

    def _admit(self, chosen: server.Server) -> None:
        now_s = self._dependencies.now()
        slots = chosen.registration.slots
        queue_state = admission.QueueState(
            requests=chosen.load(now_s) * slots,
            slots=slots,
            service_s=(
                EXPECTED_FIRST_EVENT_S
                if self._route.streaming
                else EXPECTED_ANSWER_S
            ),
            recent_wait_s=chosen.recent_wait_s(now_s),
        )
        start_by_s = self._start_by_s
        if self._route.streaming:
            # A full server that takes one more stream delays all of them.
            start_by_s = min(start_by_s, self._target_by_s)
        retry_after_s = admission.retry_after_s(
            queue_state,
            start_by_s - now_s,
            self._dependencies.rng.random(),
        )
        if retry_after_s is not None:
            raise refusal.RequestRefused(
                'expected to start after the deadline', retry_after_s
            )

    def _log_wait(self, placement: placement_requester.PlacementResult) -> None:
        """Log the first wait of a request only."""
        if self._wait_logged:
            return
        self._wait_logged = True
        logs.event(
            'request_waiting',
            request=self._request.request_id,
            model=self._wanted.model,
            adapter=self._wanted.adapter or '',
            ready_in_s=round(placement.ready_in_s, 3),
            refused=placement.refusal_reason,
        )

    def _may_retry_placement(
        self, placement: placement_requester.PlacementResult
    ) -> bool:
        """Return whether a refused placement is to be requested again."""
        if placement.unplaceable:
            return False
        return self._refused_wait_s + placement.ready_in_s <= MAX_REFUSED_WAIT_S

    def _check_required_version(self) -> None:
        """Refuse a stream that no server may continue, whatever it loads."""
        if self.required_version is None:
            return
        now_s = self._dependencies.now()
        servers = self._dependencies.servers.of_service(self._wanted.service)
        if not any(
            candidate.has_version(self.required_version)
            and candidate.is_usable(now_s)
            for candidate in servers
        ):
            raise refusal.RequestRefused(
                'no server has the software version of the stream',
                NO_SERVER_RETRY_S,
            )

    async def _request_placement(
        self, allowed_ids: frozenset[ids.ServerId]
    ) -> None:
        if self._wanted.model is None or allowed_ids:
            raise refusal.ServersUnreached(
                'no usable server', NO_SERVER_RETRY_S
            )
        self._check_required_version()
        placement = (
            await self._dependencies.placement_requester.request_placement(
                self._wanted, self.required_version
            )
        )
        if placement.refusal_reason and not self._may_retry_placement(
            placement
        ):
            raise refusal.RequestRefused(
                placement.refusal_reason, placement.ready_in_s
            )
        deadline_s = min(self._start_by_s, self._dependencies.stop_deadline_s)
        left_s = deadline_s - self._dependencies.now()
        if placement.ready_in_s + MIN_TIME_AFTER_LOAD_S > left_s:
            raise refusal.RequestRefused(
                'expected load time is after the deadline', placement.ready_in_s
            )
        self._log_wait(placement)
        if placement.refusal_reason:
            self._refused_wait_s += placement.ready_in_s
        await self._dependencies.servers.wait_for_change(
            max(MIN_CHANGE_WAIT_S, placement.ready_in_s),
        )
