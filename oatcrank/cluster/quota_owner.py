"""Own the quotas of some organisations for all instances.

An owner grants units to the instances that ask, and copies what is left to the
instances that would replace it.
"""

from typing import Any

import msgspec

from oatcrank import ids, logs
from oatcrank.cluster import (
    datagram_endpoint,
    member,
    members,
    quota_messages,
    quota_ownership,
)
from oatcrank.orders import boot_clock
from oatcrank.organisations import organisation
from oatcrank.routing import route_table

# Instances that an instance asks in turn: the owner, then those that would
# replace it.
MAX_CANDIDATES = 3
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


class QuotaOwner:
    """Grant the units of the quotas that this instance owns."""

    def __init__(
        self,
        members: members.Members,
        routes: route_table.RouteTable,
        endpoint: datagram_endpoint.DatagramEndpoint,
        tolerance: QuotaTolerance,
    ) -> None:
        """Answer the other instances' queries at an endpoint."""
        self._members = members
        self._routes = routes
        self._endpoint = endpoint
        self._started_s = boot_clock.now()
        self.tolerance = tolerance
        endpoint.set_handler(quota_messages.QuotaQuery, self._handle_query)
        endpoint.set_handler(quota_messages.QuotaCopy, self._handle_copy)
        endpoint.set_handler(
            quota_messages.QuotaCopyReply, self._handle_copy_reply
        )
        self._ownership_by_name: dict[
            ids.OrganisationName, quota_ownership.QuotaOwnership
        ] = {}

    def candidates(self, name: ids.OrganisationName) -> list[member.Member]:
        """Return the owner that the other instances choose, and the next ones.

        They don't choose this one once its registration has ended.
        """
        ranked = self._members.ranked(name, MAX_CANDIDATES + 1)
        if not self._members.own_is_registered:
            ranked = [one for one in ranked if one is not self._members.own]
        return ranked[:MAX_CANDIDATES]

    @property
    def instance_count(self) -> int:
        """Return the number of instances, with this one."""
        return 1 + len(self._members.others())

    def _handle_query(
        self, query: quota_messages.QuotaQuery, sender: str
    ) -> None:
        self._endpoint.send(self.reply_to(query), sender)

    def reply_to(
        self, query: quota_messages.QuotaQuery
    ) -> quota_messages.QuotaReply:
        """Grant the units that an instance asks for, or tell whom to ask."""
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
        grant = ownership.grant(quota, query.wanted, self.instance_count, now_s)
        if grant.ahead:
            ownership.record_ahead(query.sender_id, query.number, grant.ahead)
        self._copy(query.organisation, ownership)
        return quota_messages.QuotaReply(query.number, grant)

    def _is_owner(self, name: ids.OrganisationName) -> bool:
        owner = next(iter(self.candidates(name)), None)
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
        for candidate in self.candidates(name):
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

    def _quota(self, name: ids.OrganisationName) -> organisation.Quota | None:
        holder = self._routes.organisation_by_name.get(name)
        if holder is None or holder.quota is None:
            return None
        return self.tolerance.widen(holder.quota)

    def _ownership(
        self, name: ids.OrganisationName, quota: organisation.Quota
    ) -> quota_ownership.QuotaOwnership:
        ownership = self._ownership_by_name.get(name)
        if ownership is None:
            drop_removed(self._ownership_by_name, self._routes)
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


def drop_removed(
    by_name: dict[ids.OrganisationName, Any], routes: route_table.RouteTable
) -> None:
    """Drop what is kept of organisations that are configured no more."""
    for name in by_name.keys() - routes.organisation_by_name.keys():
        by_name.pop(name)
        logs.event('quota_dropped', organisation=name)
