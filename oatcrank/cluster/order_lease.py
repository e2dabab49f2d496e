"""Acquire, renew and release the lease that permits sending orders."""

import asyncio
import random
from collections.abc import Coroutine

from oatcrank import errors, ids, logs
from oatcrank.cluster import (
    holder_client,
    holder_records,
    lease_holder,
    members,
    order_turns,
    peer_messages,
    peers,
    session,
    store,
    store_eras,
    store_mirror,
)
from oatcrank.orders import boot_clock, lease_term, order_coordinator

ACQUIRE_INTERVAL_S = 0.25
RENEW_TIMEOUT_S = 0.3
RENEW_INTERVAL_S = 0.3
REPLICATION_INTERVAL_S = 0.25
OVERDUE_CHECK_INTERVAL_S = 0.1
MAX_START_DELAY_S = 0.3
# After this time an instance that handed the lease over, or that may not send
# orders yet, takes it if no other one has.
HAND_OVER_S = 1.0


class OrderLease:
    """Acquire the order lease, renew it, and hand it over."""

    def __init__(
        self,
        *,
        store_client: store.Store,
        mirror: store_mirror.StoreMirror,
        members: members.Members,
        session: session.Session,
        coordinator: order_coordinator.OrderCoordinator,
        lease_duration_s: float,
        peer_client: peers.Client,
    ) -> None:
        """Let the order coordinator send orders while the lease is held."""
        self._records = holder_records.HolderRecords(
            store_client, mirror, members
        )
        self._mirror = mirror
        self._members = members
        self._session = session
        self._coordinator = coordinator
        self.lease_duration_s = lease_duration_s
        self._holder_client = holder_client.HolderClient(peer_client)
        self._turns = order_turns.OrderTurns(members.own.instance_id)
        self._may_acquire = True
        self._waits_until_s = float(0)
        self._store_lease_id: ids.LeaseId | None = None
        self._reported_holder: lease_holder.LeaseHolder | None = None
        self._acquiring = False
        self._tasks: set[asyncio.Task[None]] = set()

    def newest_holder(self) -> lease_holder.LeaseHolder | None:
        """Return the newest holder read from the store or sent by a peer."""
        stored = self._records.holder()
        reported = self._reported_holder
        if reported is not None and (
            stored is None or stored.fence < reported.fence
        ):
            return reported
        return stored

    def record_holder(self, reported: lease_holder.LeaseHolder) -> None:
        """Record the holder that a peer reports, if it is newer."""
        known = self._reported_holder
        if known is None or known.fence < reported.fence:
            self._reported_holder = reported
            logs.event(
                'holder_reported',
                holder=reported.instance_id,
                fence=reported.fence,
            )

    async def run(self) -> None:
        """Acquire and renew the lease until cancelled."""
        await asyncio.sleep(MAX_START_DELAY_S * random.random())  # noqa: S311
        while True:
            try:
                await self._step()
            except errors.PlatformError as error:
                logs.event('order_lease_attempt_failed', error=error)
            await asyncio.sleep(self._interval_s())

    def _interval_s(self) -> float:
        """Return the time to the next step, and set how to follow the store."""
        if self._coordinator.term is None:
            self._mirror.follow_closely(closely=False)
            return ACQUIRE_INTERVAL_S
        self._mirror.follow_closely(closely=True)
        return RENEW_INTERVAL_S

    async def refresh_overdue(self) -> None:
        """Follow orders by reports while the store does not show their end."""
        while True:
            await asyncio.sleep(OVERDUE_CHECK_INTERVAL_S)
            await self._coordinator.refresh_overdue()

    async def add_replicas(self) -> None:
        """Add replicas of models in high demand while the lease is held."""
        while True:
            await asyncio.sleep(REPLICATION_INTERVAL_S)
            self._coordinator.add_replicas()

    async def release(self) -> None:
        """Release the lease and never acquire it again."""
        self._may_acquire = False
        await self._remove_holder()

    async def _remove_holder(self) -> None:
        term = self._coordinator.term
        if term is None:
            return
        # Keeps sending orders until a successor requests a stop.
        try:
            await self._records.remove(term.fence)
        except errors.PlatformError as error:
            # The lease then expires with this instance's session.
            logs.event('order_lease_release_failed', error=error)
            return
        logs.event('order_lease_released', fence=term.fence)

    async def hand_over(self) -> None:
        """Release the lease, and leave it to the others for HAND_OVER_S."""
        self._waits_until_s = boot_clock.now() + HAND_OVER_S
        await self._remove_holder()

    def confirm_holder(
        self, query: peer_messages.ConfirmQuery
    ) -> peer_messages.Confirmation:
        """Return whether a holder is the newest known to this instance.

        An instance that acquires the lease after this answer waits longer than
        the holder may rely on it, or asks the holder to stop.
        """
        known = self.newest_holder()
        fence = query.holder.fence
        newest = known is None or known.fence <= fence
        # In a later era the record of the holder may be lost, so that another
        # instance acquires the lease without asking it.
        is_current = store_eras.revision_era(fence) >= self._records.era
        return peer_messages.Confirmation(
            newest=newest and is_current and not self._acquiring, holder=known
        )

    def stop_for_successor(
        self, query: peer_messages.StopQuery
    ) -> peer_messages.StopReply:
        """Stop sending orders under fences older than the successor's."""
        if query.started_ms != self._members.own.started_ms:
            # The process that held the lease has ended.
            return peer_messages.StopReply(wait_s=0, store_loads=None)
        now_s = boot_clock.now()
        fence = query.successor.fence
        self.record_holder(query.successor)
        term = self._coordinator.term
        remaining_wait_s = 0 if term is None else term.earliest_start_s - now_s
        if term is not None and term.fence < fence:
            self._coordinator.stop()
            logs.event('order_lease_superseded', fence=fence)
        counted = self._coordinator.store_loads()
        return peer_messages.StopReply(
            wait_s=max(0, remaining_wait_s),
            store_loads=None if counted is None else counted.total,
            open_loads=0 if counted is None else counted.open,
        )

    async def _step(self) -> None:
        last = self._records.last()
        self._turns.watch(last, is_free=self._records.is_free)
        if self._coordinator.term is not None:
            await self._renew(self._coordinator.term)
            return
        await self._records.remove_own()
        lease_id = self._session.lease_id
        if lease_id is not None and self._is_candidate(last):
            await self._acquire(last, lease_id)

    def _is_candidate(self, last: store.Item | None) -> bool:
        """Return whether to acquire the lease now.

        An instance that may not send orders yet leaves it to others first.
        """
        now_s = boot_clock.now()
        free_s = self._turns.free_s()
        if not self._may_acquire or free_s is None:
            return False
        if now_s < self._waits_until_s:
            return False
        former = self._former(last, self._records.era)
        return free_s >= HAND_OVER_S or now_s >= self._own_orders_end_s(former)

    def _own_orders_end_s(self, former: order_turns.FormerHolder) -> float:
        return self._turns.own_orders_end_s(
            former, self._coordinator.last_order_s, self.lease_duration_s
        )

    async def _renew(self, term: lease_term.LeaseTerm) -> None:
        sent_s = boot_clock.now()
        if (
            not self._records.is_own
            or self._session.lease_id != self._store_lease_id
        ):
            logs.event('order_lease_lost', fence=term.fence)
            self._coordinator.stop()
            return
        try:
            await self._session.renew(RENEW_TIMEOUT_S)
        except store.LeaseEnded:
            self._coordinator.stop()
            raise
        except errors.PlatformError as error:
            logs.event('order_lease_renewal_failed', error=error)
            await self._renew_by_peers(term)
            return
        if self._session.lease_id == self._store_lease_id:
            term.renew(sent_s)

    async def _renew_by_peers(self, term: lease_term.LeaseTerm) -> None:
        """Renew without the store if every peer confirms this holder."""
        sent_s = boot_clock.now()
        held = self._own_holder(term)
        others = self._members.others()
        replies = await asyncio.gather(
            *(
                self._holder_client.confirm_holder(other.peer_address, held)
                for other in others
            ),
        )
        for answer in replies:
            self._stop_if_superseded(answer, held)
        confirmed = all(reply is not None and reply.newest for reply in replies)
        if others and confirmed and self._coordinator.term is term:
            term.renew(sent_s)
            logs.event('order_lease_confirmed', fence=term.fence)

    def _stop_if_superseded(
        self,
        reply: peer_messages.Confirmation | None,
        held: lease_holder.LeaseHolder,
    ) -> None:
        """Stop sending orders if a peer knows a newer holder."""
        newer = None if reply is None else reply.holder
        if newer is not None and newer.fence > held.fence:
            self.record_holder(newer)
            self._coordinator.stop()

    def _own_holder(
        self, term: lease_term.LeaseTerm
    ) -> lease_holder.LeaseHolder:
        return lease_holder.LeaseHolder(
            instance_id=self._members.own.instance_id,
            started_ms=self._members.own.started_ms,
            peer_address=self._members.own.peer_address,
            fence=ids.Fence(term.fence),
        )

    async def _acquire(
        self, last: store.Item | None, lease_id: ids.LeaseId
    ) -> None:
        sent_s = boot_clock.now()
        former = self._former(last, self._records.era)
        earlier = self._turns.earlier_ids(former, self.lease_duration_s)
        self._acquiring = True
        try:
            fence = await self._records.write(last, lease_id, earlier)
        finally:
            self._acquiring = False
        if fence is not None:
            self._store_lease_id = lease_id
            self._begin_term(last, fence, sent_s)

    def _former(
        self, last: store.Item | None, era: ids.StoreEra
    ) -> order_turns.FormerHolder:
        """Return what the record of the last holder says in an era."""
        return self._turns.former(
            last, is_known=holder_records.is_last_known(last, era)
        )

    def _begin_term(
        self, last: store.Item | None, fence: ids.Revision, sent_s: float
    ) -> None:
        former = self._former(last, store_eras.revision_era(fence))
        term = lease_term.begin(
            fence=fence,
            sent_s=sent_s,
            now_s=boot_clock.now(),
            own_orders_end_s=self._own_orders_end_s(former),
            first=last is None and former.is_known,
            wait_s=(
                lease_term.FORMER_STOPS_S
                if former.is_known
                else lease_term.UNKNOWN_FORMER_STOPS_S
            ),
        )
        self._coordinator.begin_term(term)
        own_wait_s = max(0, term.own_orders_end_s - term.acquired_s)
        logs.event(
            'order_lease_acquired',
            fence=fence,
            former_is_known=former.is_known,
            wait_s=round(term.earliest_start_s - term.acquired_s, 3),
            own_wait_s=round(own_wait_s, 3),
        )
        for other in self._members.others():
            self._spawn(
                self._holder_client.announce_holder(
                    other.peer_address, self._own_holder(term)
                ),
            )
        if last is not None and former.is_known:
            self._spawn(self._request_former_stop(last, term))

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request_former_stop(
        self,
        last: store.Item,
        term: lease_term.LeaseTerm,
    ) -> None:
        """Shorten the wait if the former holder confirms that it stopped."""
        record = lease_holder.decode_record(last)
        if record is None:
            return
        asked_s = boot_clock.now()
        reply = await self._holder_client.request_stop(
            record, self._own_holder(term)
        )
        if reply is None:
            return
        term.set_former_stopped(
            boot_clock.now() + reply.wait_s, reply.counted_loads
        )
        logs.event(
            'former_holder_stopped',
            former=record.instance_id,
            wait_s=round(term.earliest_start_s - asked_s, 3),
            store_loads=reply.store_loads,
            open_loads=reply.open_loads,
        )
