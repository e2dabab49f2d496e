"""Keep the quotas of organisations, summed over all instances.

All instances choose the same owner for an organisation's quota from the members
that they know.  The owner grants units for a request and some ahead.  An
instance that reaches neither it nor those that would replace it uses less than
its even part.
"""

import math
import random

import msgspec

from oatcrank import ids
from oatcrank.cluster import (
    datagram_endpoint,
    datagram_messages,
    member,
    members,
    owner_queries,
    quota_messages,
    quota_owner,
)
from oatcrank.forwarding import quotas
from oatcrank.orders import boot_clock
from oatcrank.organisations import organisation, quota_account, quota_share
from oatcrank.routing import return_schedule, route_table

# Requests wait for units this long; the same for all, or those that wait longer
# would leave none to the others.
MAX_WAIT_S = 0.05
# Who is asked for units, in turn.
SOURCES = (
    quotas.Source.owner,
    quotas.Source.stand_in,
    quotas.Source.stand_in,
)
# After a refusal the owner is asked again after this long at most.
MAX_REFUSED_S = 0.05


class _Use:
    """What one instance keeps of an organisation that it serves."""

    def __init__(self, now_s: float) -> None:
        self.share = quota_share.QuotaShare(now_s)
        self.returns = return_schedule.ReturnSchedule()
        self.refused_until_s = -math.inf
        self.refused_level = float(0)


class DistributedQuotas(quotas.Quotas):
    """Take units of quotas from their owners, ahead of requests."""

    def __init__(
        self,
        members: members.Members,
        routes: route_table.RouteTable,
        endpoint: datagram_endpoint.DatagramEndpoint,
        rng: random.Random,
        tolerance: quota_owner.QuotaTolerance,
    ) -> None:
        """Distribute the quotas among the members."""
        self._members = members
        self._routes = routes
        self._rng = rng
        self._owner = quota_owner.QuotaOwner(
            members, routes, endpoint, tolerance
        )
        self._queries = owner_queries.OwnerQueries(
            endpoint, quota_messages.QuotaReply
        )
        self._use_by_name: dict[ids.OrganisationName, _Use] = {}

    def apply_tolerance(self, tolerance: quota_owner.QuotaTolerance) -> None:
        """Apply a changed tolerance."""
        self._owner.tolerance = tolerance

    # quotas.Quotas

    async def take(
        self, holder: organisation.Organisation, cost: float
    ) -> quotas.QuotaDecision:
        """Take the units of one request."""
        if holder.quota is None:
            return quotas.QuotaDecision(
                granted=True, source=quotas.Source.unlimited
            )
        now_s = boot_clock.now()
        use = self._use(holder.name)
        if use.share.take(cost, now_s):
            return quotas.QuotaDecision(
                granted=True,
                source=quotas.Source.share,
                age_s=use.share.age_s(now_s),
            )
        if now_s < use.refused_until_s:
            return self._refuse(
                holder.quota, cost, use, use.refused_until_s - now_s
            )
        decision = await self._ask(holder, holder.quota, cost, use)
        if decision.granted:
            return decision
        use.refused_until_s = now_s + min(MAX_REFUSED_S, decision.wait_s)
        use.refused_level = decision.level
        return msgspec.structs.replace(
            decision,
            wait_s=self._return_s(holder.quota, cost, use, decision.wait_s),
        )

    def give_back(
        self,
        holder: organisation.Organisation,
        cost: float,
        held_s: float,
    ) -> None:
        """Keep the units of a request that has not run for the next one."""
        if holder.quota is not None:
            self._use(holder.name).share.give_back(
                cost, held_s, boot_clock.now()
            )

    # Asking

    async def _ask(
        self,
        holder: organisation.Organisation,
        quota: organisation.Quota,
        cost: float,
        use: _Use,
    ) -> quotas.QuotaDecision:
        """Ask the owner, then the instance that would replace it."""
        returned = use.share.end(boot_clock.now())
        wanted = quota_account.Wanted(cost, use.share.ahead, MAX_WAIT_S)
        for candidate, source in zip(
            self._owner.candidates(holder.name),
            SOURCES,
            strict=False,
        ):
            number, reply = await self._ask_instance(
                candidate,
                quota_messages.QuotaQuery(
                    0,
                    self._members.own.instance_id,
                    holder.name,
                    wanted,
                    returned,
                    used_alone=use.share.used_alone,
                    for_owner=source is quotas.Source.stand_in,
                ),
            )
            if reply is not None and reply.grant is not None:
                use.share.begin(number, reply.grant.ahead, boot_clock.now())
                return _decision(reply.grant, source)
        return _decision(
            use.share.take_alone(
                quota,
                wanted,
                self._owner.instance_count,
                boot_clock.now(),
                self._rng.random(),
            ),
            quotas.Source.alone,
        )

    async def _ask_instance(
        self,
        asked: member.Member,
        query: quota_messages.QuotaQuery,
    ) -> tuple[int, quota_messages.QuotaReply | None]:
        """Return the number of a query, and the reply if there is one.

        Another owner that the reply names is asked in turn, once.
        """
        if asked is self._members.own:
            return 0, self._owner.reply_to(query)
        numbers: list[int] = []

        def build(number: int) -> datagram_messages.Datagram:
            numbers.append(number)
            return msgspec.structs.replace(query, number=number)

        reply = await self._queries.ask(asked, build)
        if reply is not None and reply.owner_address:
            reply = await self._queries.ask(
                msgspec.structs.replace(
                    asked,
                    instance_id=ids.InstanceId(reply.owner_address),
                    datagram_address=reply.owner_address,
                ),
                build,
            )
        return (numbers[-1] if numbers else 0), reply

    # Refusing

    def _refuse(
        self,
        quota: organisation.Quota,
        cost: float,
        use: _Use,
        wait_s: float,
    ) -> quotas.QuotaDecision:
        """Refuse without asking, soon after the owner has refused."""
        return quotas.QuotaDecision(
            granted=False,
            source=quotas.Source.owner,
            wait_s=self._return_s(quota, cost, use, wait_s),
            level=use.refused_level,
            age_s=MAX_REFUSED_S - wait_s,
        )

    def _return_s(
        self,
        quota: organisation.Quota,
        cost: float,
        use: _Use,
        wait_s: float,
    ) -> float:
        """Return after how long the refused caller should return."""
        interval_s = self._owner.instance_count * cost / quota.per_s
        return use.returns.reserve_s(wait_s, interval_s, boot_clock.now())

    # State

    def _use(self, name: ids.OrganisationName) -> _Use:
        use = self._use_by_name.get(name)
        if use is None:
            quota_owner.drop_removed(self._use_by_name, self._routes)
            use = self._use_by_name.setdefault(name, _Use(boot_clock.now()))
        return use


def _decision(
    grant: quota_account.Grant, source: quotas.Source
) -> quotas.QuotaDecision:
    return quotas.QuotaDecision(
        granted=grant.granted,
        source=source,
        wait_s=grant.wait_s,
        level=grant.level,
    )
