"""Learn of changes of the store from the relays of the failure domain."""

import math

from oatcrank import errors, ids, logs
from oatcrank.cluster import (
    change_source,
    look_schedule,
    member,
    members,
    peers,
    relay_choice,
    relay_messages,
    store_metrics,
)
from oatcrank.orders import boot_clock

# A relay without changes replies after this time, so that one that has stopped
# is noticed soon.
POLL_WAIT_S = 0.4
REPLY_SLACK_S = 0.25
# A relay whose knowledge is older has probably lost the store.
MAX_AGE_S = 1.5
# An instance that others ask follows the store itself for this time: one that
# leaves is asked until all know it, and two could wait for each other.
QUERIED_S = 1.0
# A relay that has failed is not asked again for this time.
RETRY_S = 3.0


class RelayFollower(change_source.ChangeSource):
    """Ask the relays by turns, so that none can hold changes back for long."""

    def __init__(self, members: members.Members, client: peers.Client) -> None:
        """Ask relays among the members."""
        self._members = members
        self._client = client
        self._avoided_until_s_by_id: dict[ids.InstanceId, float] = {}
        self._previous_relay_id: ids.InstanceId | None = None
        self._is_relay: bool | None = None
        self._is_bypassed = False
        self._queried_s = -math.inf
        self._look_schedule = look_schedule.LookSchedule(members)
        self._look_has_failed = False

    async def changes(
        self, after: ids.Revision
    ) -> change_source.RelayedChanges | None:
        """Return the changes after a revision, or None to ask the store."""
        if self._follows_store():
            return None
        for relay in self._relays_by_turns():
            relayed = await self._ask(relay, after)
            if relayed is not None:
                return relayed
        return None

    async def look(
        self, after: ids.Revision
    ) -> change_source.RelayedChanges | None:
        """Return what another instance knows; None if none answers."""
        asked = self._look_schedule.next()
        if asked is None:
            return None
        try:
            reply = await self._query(asked, after)
            found = _decode_reply(reply)
        except (peers.PeerUnreachable, errors.PlatformError) as error:
            logs.event('look_failed', asked=asked.instance_id, error=error)
            found = None
        self._look_has_failed = found is None
        return found

    def checks_store(self) -> bool:
        """Return whether this instance must not rely on what others know."""
        return self._look_has_failed or self._look_schedule.is_checker()

    def bypass(self, *, bypassed: bool) -> None:
        """Set whether this instance needs each change without delay."""
        self._is_bypassed = bypassed

    def record_query(self) -> None:
        """Record that another instance asks this one for changes."""
        self._queried_s = boot_clock.now()

    def _follows_store(self) -> bool:
        own_id = self._members.own.instance_id
        is_chosen = any(relay.instance_id == own_id for relay in self._relays())
        is_queried = boot_clock.now() - self._queried_s < QUERIED_S
        is_relay = is_chosen or is_queried
        if is_relay is not self._is_relay:
            self._is_relay = is_relay
            store_metrics.IS_STORE_RELAY.set(is_relay)
            logs.event('store_relay', relay=is_relay)
        return is_relay or self._is_bypassed

    def _relays(self) -> list[member.Member]:
        own = self._members.own
        return relay_choice.relays(
            (own, *self._members.others()), own.failure_domain
        )

    def _relays_by_turns(self) -> list[member.Member]:
        now_s = boot_clock.now()
        available = [
            relay
            for relay in self._relays()
            if self._avoided_until_s_by_id.get(relay.instance_id, 0) <= now_s
        ]
        available.sort(
            key=lambda relay: relay.instance_id == self._previous_relay_id
        )
        return available

    async def _ask(
        self, relay: member.Member, after: ids.Revision
    ) -> change_source.RelayedChanges | None:
        self._previous_relay_id = relay.instance_id
        try:
            relayed = _decode_reply(await self._query(relay, after))
        except (peers.PeerUnreachable, errors.PlatformError) as error:
            self._avoid(relay, str(error))
            return None
        if relayed.age_s > MAX_AGE_S:
            self._avoid(relay, f'it knows no changes of {relayed.age_s:.1f} s')
            return None
        return relayed

    async def _query(
        self, asked: member.Member, after: ids.Revision
    ) -> relay_messages.ChangesReply:
        return await self._client.send(
            asked.peer_address,
            relay_messages.MESSAGE_NAME,
            relay_messages.ChangesQuery(after=after, wait_s=POLL_WAIT_S),
            relay_messages.ChangesReply,
            POLL_WAIT_S + REPLY_SLACK_S,
        )

    def _avoid(self, relay: member.Member, reason: str) -> None:
        self._avoided_until_s_by_id[relay.instance_id] = (
            boot_clock.now() + RETRY_S
        )
        store_metrics.RELAY_FAILURES.inc()
        logs.event('relay_avoided', relay=relay.instance_id, reason=reason)


def _decode_reply(
    reply: relay_messages.ChangesReply,
) -> change_source.RelayedChanges:
    """Return the changes of a reply, or raise errors.Unavailable."""
    if not reply.complete:
        raise errors.Unavailable('it does not know all changes')
    return change_source.RelayedChanges(
        items=relay_messages.unpack(reply.packed_items),
        revision=reply.revision,
        age_s=reply.age_s,
    )
