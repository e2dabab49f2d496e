"""Check whose request it is, and whether it is within that quota."""

import asyncio
import time

import msgspec

from oatcrank import errors, logs
from oatcrank.forwarding import (
    caller_request,
    quotas,
    request_metrics,
    wire_protocol,
)
from oatcrank.organisations import key_table, organisation
from oatcrank.routing import route, route_table


class KeyRefused(errors.OatcrankError):
    """Raised for a request without a key of an organisation."""


class QuotaExceeded(errors.OatcrankError):
    """Raised for a request beyond its organisation's quota.

    Without retry_after_s it will never be within it.
    """

    def __init__(self, reason: str, retry_after_s: float | None) -> None:
        """Store the reason and the retry delay in seconds."""
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class Admission:
    """A request that may be sent, with the units that it took."""

    def __init__(
        self,
        request_route: route.Route,
        quotas: quotas.Quotas,
        holder: organisation.Organisation | None = None,
        cost: float = 0,
    ) -> None:
        """Keep what is to be given back if the request does not run."""
        self.route = request_route
        self._quotas = quotas
        self._holder = holder
        self._cost = cost
        self._taken_s = time.monotonic()

    def give_back(self) -> None:
        """Give the units of the request back, once."""
        cost = self._cost
        self._cost = 0
        if self._holder is not None and cost:
            held_s = time.monotonic() - self._taken_s
            self._quotas.give_back(self._holder, cost, held_s)


class OrganisationGate:
    """Admit the requests of organisations, and all others without keys."""

    def __init__(
        self,
        protocol: wire_protocol.WireProtocol,
        routes: route_table.RouteTable,
        quotas: quotas.Quotas,
    ) -> None:
        """Check requests by the newest configuration."""
        self._protocol = protocol
        self._routes = routes
        self._quotas = quotas

    async def admit(
        self,
        request: caller_request.CallerRequest,
        request_route: route.Route,
    ) -> Admission:
        """Admit a request, or raise KeyRefused or QuotaExceeded."""
        keys = self._routes.keys
        if keys is None:
            return Admission(request_route, self._quotas)
        request.headers = self._protocol.remove_credentials(request.headers)
        if request_route.public:
            return Admission(request_route, self._quotas)
        holder = _find_holder(keys, request)
        request.organisation = holder.name
        cost = await self._take(holder, request)
        urgent_route = msgspec.structs.replace(
            request_route,
            priority=self._routes.urgency.priority(
                holder.priority, request_route.priority
            ),
        )
        return Admission(urgent_route, self._quotas, holder, cost)

    async def _take(
        self,
        holder: organisation.Organisation,
        request: caller_request.CallerRequest,
    ) -> float:
        """Take the units of a request from its quota; return its cost."""
        if holder.quota is None:
            return 0
        cost = holder.quota.cost_of(request.tokens)
        if cost > holder.quota.burst:
            _log_quota_refusal(holder, request, cost)
            raise QuotaExceeded('the request exceeds the whole quota', None)
        decision = await self._quotas.take(holder, cost)
        request_metrics.count_quota_decision(holder.name, decision)
        if not decision.granted:
            _log_quota_refusal(holder, request, cost, decision)
            raise QuotaExceeded('the quota is used up', decision.wait_s)
        if decision.wait_s:
            await asyncio.sleep(decision.wait_s)
        return cost


def _find_holder(
    keys: key_table.KeyTable, request: caller_request.CallerRequest
) -> organisation.Organisation:
    reason = 'missing or malformed'
    fingerprint = ''
    if request.key is not None:
        holder = keys.find(request.key)
        if holder is not None:
            return holder
        reason = 'unknown'
        fingerprint = key_table.fingerprint(key_table.digest(request.key))
    request_metrics.KEY_REFUSALS.labels(reason).inc()
    logs.event(
        'key_refused',
        request=request.request_id,
        reason=reason,
        key=fingerprint,
        peer=request.caller,
    )
    raise KeyRefused(reason)


def _log_quota_refusal(
    holder: organisation.Organisation,
    request: caller_request.CallerRequest,
    cost: float,
    decision: quotas.QuotaDecision | None = None,
) -> None:
    decided = {}
    if decision is not None:
        decided = {
            'left': round(decision.level),
            'source': decision.source.value,
            'age_ms': round(decision.age_s * 1000),
            'retry_after_s': round(decision.wait_s, 3),
        }
    logs.event(
        'quota_refused',
        request=request.request_id,
        organisation=holder.name,
        cost=round(cost),
        **decided,
    )
