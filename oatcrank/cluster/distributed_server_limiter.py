"""Keep the limits that servers name, summed over all instances.

All instances choose the same owner for a server from the members that they
know.  Each asks the owner for a permit before it sends a request to a server
with a limit; the owner spaces them out.  An instance that gets no reply sends
only its share of half the limit.
"""

import asyncio
import random
from collections.abc import Callable

from oatcrank import logs
from oatcrank.cluster import (
    datagram_endpoint,
    datagram_messages,
    limit_messages,
    member,
    members,
    owner_queries,
)
from oatcrank.forwarding import request_metrics, server_limiter
from oatcrank.orders import boot_clock
from oatcrank.routing import (
    limit_schedule,
    server_limit,
    server_process,
    server_registration,
    server_table,
)

# With this many limits, those of processes that have ended are dropped.
MAX_LIMITS = 1024


class DistributedServerLimiter(server_limiter.ServerLimiter):
    """Issue permits for some servers; ask the owners of the others."""

    def __init__(
        self,
        members: members.Members,
        servers: server_table.ServerTable,
        endpoint: datagram_endpoint.DatagramEndpoint,
        rng: random.Random,
    ) -> None:
        """Distribute the limits among the members."""
        self._members = members
        self._servers = servers
        self._endpoint = endpoint
        self._rng = rng
        endpoint.set_handler(limit_messages.PermitQuery, self._handle_query)
        endpoint.set_handler(limit_messages.LimitNotice, self._handle_notice)
        self._queries = owner_queries.OwnerQueries(
            endpoint, limit_messages.PermitReply
        )
        self._limit_by_process: dict[
            server_process.ServerProcess, server_limit.ServerLimit
        ] = {}

    # server_limiter.ServerLimiter

    def record_answer(
        self,
        registration: server_registration.Registration,
        requests_per_s: float | None,
        sent_s: float,
    ) -> None:
        """Record the limit that an answer names, or None for none."""
        process = registration.process
        if requests_per_s is None:
            known = self._limit_by_process.get(process)
            if known is None or sent_s < known.known_s:
                return
        limit = self._limit(process)
        if limit.update(requests_per_s, _now_s()):
            _log_change(process, limit, source='answer')
            self._announce(process, limit)

    async def reserve(
        self,
        registration: server_registration.Registration,
        max_wait_s: float,
    ) -> limit_schedule.Permit:
        """Reserve the place of one request at a server."""
        process = registration.process
        limit = self._limit_by_process.get(process)
        if limit is None or limit.requests_per_s is None:
            return limit_schedule.Permit(granted=True)
        permit = await self._request_unless_denied(process, limit, max_wait_s)
        request_metrics.PERMITS.labels(
            registration.service, permit.granted
        ).inc()
        return permit

    def return_s(
        self,
        registration: server_registration.Registration,
        wait_s: float,
    ) -> float:
        """Return when a refused caller should return, in seconds from now."""
        limit = self._limit_by_process.get(registration.process)
        if limit is None:
            return wait_s
        return limit.return_s(self._instance_count, wait_s, _now_s())

    # Permits

    async def _request_unless_denied(
        self,
        process: server_process.ServerProcess,
        limit: server_limit.ServerLimit,
        max_wait_s: float,
    ) -> limit_schedule.Permit:
        """Request a permit, unless one was just denied for longer."""
        now_s = _now_s()
        denied_s = limit.denied_s(now_s)
        if denied_s > max_wait_s:
            return limit_schedule.Permit(granted=False, wait_s=denied_s)
        permit = await self._request(process, limit, max_wait_s)
        if not permit.granted:
            limit.record_denied(permit.wait_s, now_s)
        return permit

    async def _request(
        self,
        process: server_process.ServerProcess,
        limit: server_limit.ServerLimit,
        max_wait_s: float,
    ) -> limit_schedule.Permit:
        owner = self._owner(process)
        if owner is None or owner is self._members.own:
            return limit.issue(
                max_wait_s, _now_s(), as_owner=self._is_owner(process)
            )
        reply = await self._queries.ask(
            owner, self._query_builder(process, limit, max_wait_s)
        )
        if reply is None:
            return limit.use_share(
                self._instance_count,
                max_wait_s,
                _now_s(),
                self._rng.random(),
            )
        limit.end_share()
        self._take_over(process, limit, reply.limit)
        return reply.permit

    def _query_builder(
        self,
        process: server_process.ServerProcess,
        limit: server_limit.ServerLimit,
        max_wait_s: float,
    ) -> Callable[[int], datagram_messages.Datagram]:
        return lambda number: limit_messages.PermitQuery(
            number, process, _limit_of(limit), max_wait_s
        )

    @property
    def _instance_count(self) -> int:
        return 1 + len(self._members.others())

    def _owner(
        self, process: server_process.ServerProcess
    ) -> member.Member | None:
        """Return the owner that the other instances choose, too.

        They don't choose this one once its registration has ended.
        """
        candidates = self._members.ranked(process.server_id, 2)
        if not self._members.own_is_registered:
            candidates = [
                candidate
                for candidate in candidates
                if candidate is not self._members.own
            ]
        return next(iter(candidates), None)

    def _is_owner(self, process: server_process.ServerProcess) -> bool:
        """Return whether this instance may use the whole limit.

        Once its lease may have ended, the others may have chosen a new owner.
        """
        if not self._members.is_own_lease_valid(boot_clock.now()):
            return False
        return self._owner(process) is self._members.own

    # Knowledge

    def _limit(
        self, process: server_process.ServerProcess
    ) -> server_limit.ServerLimit:
        limit = self._limit_by_process.get(process)
        if limit is None:
            self._drop_ended()
            limit = server_limit.ServerLimit()
            self._limit_by_process[process] = limit
        return limit

    def _drop_ended(self) -> None:
        if len(self._limit_by_process) < MAX_LIMITS:
            return
        processes = {
            registered.registration.process
            for registered in self._servers.by_id.values()
        }
        for process in self._limit_by_process.keys() - processes:
            del self._limit_by_process[process]

    def _take_over(
        self,
        process: server_process.ServerProcess,
        limit: server_limit.ServerLimit,
        told: limit_messages.Limit,
    ) -> bool:
        """Update a limit by a message; return if it began or ended."""
        changed = limit.update(told.requests_per_s, _now_s() - told.age_s)
        if changed:
            _log_change(process, limit, source='instance')
        return changed

    def _announce(
        self,
        process: server_process.ServerProcess,
        limit: server_limit.ServerLimit,
    ) -> None:
        """Tell the owner, or as the owner all others, of a change."""
        owner = self._owner(process)
        receivers = (
            self._members.others()
            if owner is None or owner is self._members.own
            else [owner]
        )
        notice = limit_messages.LimitNotice(process, _limit_of(limit))
        for receiver in receivers:
            if receiver.datagram_address:
                self._endpoint.send(notice, receiver.datagram_address)

    # Datagrams

    def _handle_notice(
        self, notice: limit_messages.LimitNotice, _: str
    ) -> None:
        limit = self._limit(notice.process)
        if not self._take_over(notice.process, limit, notice.limit):
            return
        if self._owner(notice.process) is self._members.own:
            self._announce(notice.process, limit)

    def _handle_query(
        self, query: limit_messages.PermitQuery, sender: str
    ) -> None:
        limit = self._limit(query.process)
        changed = self._take_over(query.process, limit, query.limit)
        as_owner = self._is_owner(query.process)
        if changed and as_owner:
            self._announce(query.process, limit)
        permit = limit.issue(query.max_wait_s, _now_s(), as_owner=as_owner)
        self._endpoint.send(
            limit_messages.PermitReply(query.number, permit, _limit_of(limit)),
            sender,
        )


def _limit_of(limit: server_limit.ServerLimit) -> limit_messages.Limit:
    return limit_messages.Limit(limit.requests_per_s, _now_s() - limit.known_s)


def _log_change(
    process: server_process.ServerProcess,
    limit: server_limit.ServerLimit,
    *,
    source: str,
) -> None:
    if limit.requests_per_s is None:
        logs.event(
            'server_limit_ended', server=process.server_id, source=source
        )
        return
    logs.event(
        'server_limit_began',
        server=process.server_id,
        requests_per_s=limit.requests_per_s,
        source=source,
    )


def _now_s() -> float:
    return asyncio.get_running_loop().time()
