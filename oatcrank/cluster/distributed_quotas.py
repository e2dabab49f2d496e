"""Keep the quotas of organisations, summed over all instances.

All instances choose the same owner for an organisation's quota from the members
that they know.  The owner grants units for a request and some ahead, and copies
what is left to the instance that would replace it.  An instance that reaches
neither uses less than its even part.
"""

import math
import random

import msgspec

from oatcrank import ids, logs
from oatcrank.cluster import (
    datagram_endpoint,
    datagram_messages,
    member,
    members,
    owner_queries,
    quota_messages,
    quota_ownership,
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
# Share of the overage by which a quota is widened, so that requests within it
# are not refused; the rest covers a change of owners.
USED_OVERAGE = 0.15
# Share of the level that an owner assumes when it starts without a copy.
UNKNOWN_LEVEL_SHARE = 0.5


class QuotaTolerance(msgspec.Struct, frozen=True):
    """By how much all instances together may exceed a quota.

    overage: a share of the quota in each window; slack: units besides.
    """

    overage: float = 0
    slack: float = 0

    def widen(self, quota: organisation.Quota) -> organisation.Quota:
        """Return a quota that makes up for messages that arrive late."""
        return msgspec.structs.replace(
            quota, per_s=quota.per_s * (1 + self.overage * USED_OVERAGE)
        )


class _Use:
    """What one instance keeps of an organisation that it serves."""

    def __init__(self, now_s: float) -> None:
        self.share = quota_share.QuotaShare(now_s)
        self.returns = return_schedule.ReturnSchedule()
        self.refused_until_s = -math.inf
        self.refused_level = float(0)


class DistributedQuotas(quotas.Quotas):
    """Own the quotas of some organisations; ask the owners of the others."""

    def __init__(
        self,
        members: members.Members,
        routes: route_table.RouteTable,
        endpoint: datagram_endpoint.DatagramEndpoint,
        rng: random.Random,
        tolerance: QuotaTolerance,
    ) -> None:
        """Distribute the quotas among the members."""
        self._members = members
        self._routes = routes
        self._endpoint = endpoint
        self._rng = rng
        self._started_s = boot_clock.now()
        self.tolerance = tolerance
        endpoint.set_handler(quota_messages.QuotaQuery, self._handle_query)
        endpoint.set_handler(quota_messages.QuotaCopy, self._handle_copy)
        endpoint.set_handler(
            quota_messages.QuotaCopyReply, self._handle_copy_reply
        )
        self._queries = owner_queries.OwnerQueries(
            endpoint, quota_messages.QuotaReply
        )
        self._use_by_name: dict[ids.OrganisationName, _Use] = {}
        self._ownership_by_name: dict[
            ids.OrganisationName, quota_ownership.QuotaOwnership
        ] = {}

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
            self._candidates(holder.name),
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
                self._instance_count,
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
            return 0, self._reply_to(query)
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

    def _candidates(self, name: ids.OrganisationName) -> list[member.Member]:
        """Return the owner that the other instances choose, and the next ones.

        They don't choose this one once its registration has ended.
        """
        ranked = self._members.ranked(name, len(SOURCES) + 1)
        if not self._members.own_is_registered:
            ranked = [one for one in ranked if one is not self._members.own]
        return ranked[: len(SOURCES)]

    @property
    def _instance_count(self) -> int:
        return 1 + len(self._members.others())

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
        interval_s = self._instance_count * cost / quota.per_s
        return use.returns.reserve_s(wait_s, interval_s, boot_clock.now())

    # Owning

    def _handle_query(
        self, query: quota_messages.QuotaQuery, sender: str
    ) -> None:
        self._endpoint.send(self._reply_to(query), sender)

    def _reply_to(
        self, query: quota_messages.QuotaQuery
    ) -> quota_messages.QuotaReply:
        quota = self._quota(query.organisation)
        if quota is None:
            return quota_messages.QuotaReply(query.number, None)
        ownership = self._ownership(query.organisation, quota)
        now_s = boot_clock.now()
        if ownership.hears_owner(now_s):
            return quota_messages.QuotaReply(
                query.number, None, ownership.owner_address
            )
        if not (query.for_owner or self._is_owner(query.organisation)):
            return quota_messages.QuotaReply(query.number, None)
        if query.sender_id != self._members.own.instance_id:
            ownership.record_asked(now_s)
        elif ownership.is_isolated(now_s):
            self._copy(query.organisation, ownership)
            return quota_messages.QuotaReply(query.number, None)
        ownership.take_back(query.sender_id, query.returned)
        ownership.record_used_alone(query.sender_id, query.used_alone)
        grant = ownership.grant(
            quota, query.wanted, self._instance_count, now_s
        )
        if grant.ahead:
            ownership.record_ahead(query.sender_id, query.number, grant.ahead)
        self._copy(query.organisation, ownership)
        return quota_messages.QuotaReply(query.number, grant)

    def _is_owner(self, name: ids.OrganisationName) -> bool:
        owner = next(iter(self._candidates(name)), None)
        return owner is self._members.own

    def _copy(
        self,
        name: ids.OrganisationName,
        ownership: quota_ownership.QuotaOwnership,
    ) -> None:
        """Copy the level to the instances that would replace this one."""
        level = ownership.level_to_copy(boot_clock.now())
        if level is None:
            return
        copy = quota_messages.QuotaCopy(
            self._members.own.instance_id, name, level
        )
        for candidate in self._candidates(name):
            if candidate is not self._members.own:
                self._endpoint.send(copy, candidate.datagram_address)

    def _handle_copy(
        self, received: quota_messages.QuotaCopy, sender: str
    ) -> None:
        quota = self._quota(received.organisation)
        if quota is None:
            return
        ownership = self._ownership(received.organisation, quota)
        if not self._goes_before(received):
            return
        own_level = ownership.record_owner_copy(
            quota, received.level, sender, boot_clock.now()
        )
        self._endpoint.send(
            quota_messages.QuotaCopyReply(received.organisation, own_level),
            sender,
        )

    def _handle_copy_reply(
        self, reply: quota_messages.QuotaCopyReply, _: str
    ) -> None:
        ownership = self._ownership_by_name.get(reply.organisation)
        if ownership is not None:
            ownership.record_copy_reply(reply.level, boot_clock.now())

    def _goes_before(self, received: quota_messages.QuotaCopy) -> bool:
        """Return whether a sender is chosen as owner before this instance."""
        return members.rank(
            received.organisation, received.sender_id
        ) > members.rank(received.organisation, self._members.own.instance_id)

    # State

    def _quota(self, name: ids.OrganisationName) -> organisation.Quota | None:
        holder = self._routes.organisation_by_name.get(name)
        if holder is None or holder.quota is None:
            return None
        return self.tolerance.widen(holder.quota)

    def _use(self, name: ids.OrganisationName) -> _Use:
        use = self._use_by_name.get(name)
        if use is None:
            self._drop_removed()
            use = self._use_by_name.setdefault(name, _Use(boot_clock.now()))
        return use

    def _ownership(
        self, name: ids.OrganisationName, quota: organisation.Quota
    ) -> quota_ownership.QuotaOwnership:
        ownership = self._ownership_by_name.get(name)
        if ownership is None:
            self._drop_removed()
            ownership = self._ownership_by_name.setdefault(
                name,
                quota_ownership.QuotaOwnership(
                    boot_clock.now(), self._start_level(quota)
                ),
            )
        return ownership

    def _start_level(self, quota: organisation.Quota) -> float:
        """Return what is left of a quota whose former owner is not known.

        An owner that this instance knows nothing of may have granted the burst.
        """
        up_s = boot_clock.now() - self._started_s
        regained = min(quota.burst, quota.per_s * up_s)
        return min(
            quota.burst,
            (regained + self.tolerance.slack) * UNKNOWN_LEVEL_SHARE,
        )

    def _drop_removed(self) -> None:
        """Drop what is kept of organisations that are configured no more."""
        configured = self._routes.organisation_by_name.keys()
        for by_name in (self._use_by_name, self._ownership_by_name):
            for name in by_name.keys() - configured:
                by_name.pop(name)
                logs.event('quota_dropped', organisation=name)


def _decision(
    grant: quota_account.Grant, source: quotas.Source
) -> quotas.QuotaDecision:
    return quotas.QuotaDecision(
        granted=grant.granted,
        source=source,
        wait_s=grant.wait_s,
        level=grant.level,
    )
