"""Track the other entry instances by periodic exchanges with a few of them."""

import asyncio
import itertools
import random
from typing import TypeVar

import msgspec

from oatcrank import clock, decoding, errors, logs, rpc
from oatcrank.configuration import change_follower
from oatcrank.membership import (
    documents,
    exchange,
    failure_detector,
    heartbeat_vector,
    instance_list,
    member,
    members,
    roster,
)
from oatcrank.settings import membership_settings

EXCHANGE_PATH = '/internal/exchange'
DOCUMENTS_PATH = '/internal/documents'
MS_PER_S = 1000
EXCHANGE_TIMEOUT_S = 1.0
LIST_PERIOD_S = 1.0
# Every n-th round also exchanges with an instance outside the cell.
OUTSIDE_EXCHANGE_ROUNDS = 4
# In a large cell each instance exchanges with one peer per round, so heartbeats
# take longer to reach all.
LARGE_CELL_SIZE = 16
LARGE_CELL_TIMEOUT_FACTOR = 1.6

Reply = TypeVar('Reply')


class Membership(members.Members):
    """Exchange heartbeats and documents, with one task per exchange.

    Heartbeats are sent within a cell. Documents and the newest change number
    are also exchanged with a few instances of other cells.
    """

    def __init__(
        self,
        own: member.Member,
        *,
        settings: membership_settings.MembershipSettings,
        instance_list: instance_list.InstanceList,
        client: rpc.Rpc,
        clock: clock.Clock,
        documents: documents.Documents,
        follower: change_follower.ChangeFollower,
    ) -> None:
        """Exchange messages on behalf of one member."""
        self.documents = documents
        self.bytes_sent = 0
        self.bytes_received = 0
        self._own = own
        self._settings = settings
        self._client = client
        self._follower = follower
        self.list_period_s = LIST_PERIOD_S
        self._dead_after_s = settings.dead_after_ms / MS_PER_S
        self._detector = failure_detector.FailureDetector(
            dead_after_s=self._dead_after_s,
            clock=clock,
        )
        self.roster = roster.Roster(
            own.instance_id,
            instance_list=instance_list,
            documents=documents,
            detector=self._detector,
            cell_size=settings.cell_size,
            clock=clock,
        )
        self._heartbeat_count = 0
        self._received_vector_digest = ''
        self._shuffled_addresses: list[str] = []
        self._task_by_address: dict[str, asyncio.Task[None]] = {}
        self._rng = random.Random(f'{own.instance_id}/{own.incarnation}')
        self._publish()
        follower.members = self
        follower.is_only_instance = self.roster.is_only_instance

    @property
    def own(self) -> member.Member:
        """Return this instance."""
        return self._own

    def alive(self) -> tuple[member.Member, ...]:
        """Return the members considered alive, ordered by instance id."""
        alive = (*self.roster.alive(), self._own)
        return tuple(sorted(alive, key=_instance_id))

    def accepting_callers(self) -> tuple[member.Member, ...]:
        """Return the members that accept new callers."""
        return tuple(alive for alive in self.alive() if not alive.leaving)

    def leave(self) -> None:
        """Announce that this instance accepts no new callers."""
        self._own = msgspec.structs.replace(self._own, leaving=True)
        self._publish()

    async def run(self) -> None:
        """Exchange periodically until cancelled."""
        list_reader = asyncio.create_task(self._read_list_forever())
        period_s = self._settings.exchange_period_ms / MS_PER_S
        try:
            for round_number in itertools.count():
                self.start_exchanges(
                    include_outside=round_number % OUTSIDE_EXCHANGE_ROUNDS == 0
                )
                await asyncio.sleep(period_s)
        finally:
            list_reader.cancel()
            for task in tuple(self._task_by_address.values()):
                task.cancel()

    def start_exchanges(
        self, *, include_outside: bool
    ) -> tuple[asyncio.Task[None], ...]:
        """Advance the own heartbeat and start exchanges with random peers.

        include_outside adds a peer outside the cell.
        """
        self._heartbeat_count += 1
        self._record_heartbeat(self._own.instance_id, self._own_heartbeat())
        cell_addresses = self.roster.cell_addresses()
        count = self._settings.peers_per_exchange
        timeout_factor = 1.0
        if len(cell_addresses) >= LARGE_CELL_SIZE:
            count = 1
            timeout_factor = LARGE_CELL_TIMEOUT_FACTOR
        self._detector.dead_after_s = self._dead_after_s * timeout_factor
        chosen = self._choose_peers(cell_addresses, count)
        if include_outside:
            outside_addresses = self.roster.outside_addresses()
            chosen += self._rng.sample(
                outside_addresses,
                min(1, len(outside_addresses)),
            )
        return tuple(
            self._start(address)
            for address in chosen
            if address not in self._task_by_address
        )

    def answer(self, received: exchange.Exchange) -> exchange.Exchange:
        """Apply a peer's exchange and return this instance's."""
        self._apply(received)
        reply = self._message(
            peer_vector_digest=received.vector_digest,
            with_versions=received.digest != self.documents.digest,
        )
        # Returns a newer known heartbeat of the peer's id to a restarted peer,
        # so that it can raise its incarnation.
        peer_id = received.sender.instance_id
        known = self._detector.heartbeat(peer_id)
        own_claim = received.heartbeat_by_id.get(peer_id)
        if own_claim is not None and known is not None and own_claim < known:
            heartbeat_by_id = {**reply.heartbeat_by_id, peer_id: known}
            return msgspec.structs.replace(
                reply, heartbeat_by_id=heartbeat_by_id
            )
        return reply

    def answer_documents(
        self,
        received: exchange.DocumentExchange,
    ) -> exchange.DocumentExchange:
        """Store a peer's documents and return those it requests."""
        self._store_documents(received)
        return exchange.DocumentExchange(
            documents=self.documents.select(received.wanted),
        )

    def _publish(self) -> None:
        # Within an incarnation, the leaving state has the higher version.
        version = self._own.incarnation * 2 + int(self._own.leaving)
        text = msgspec.json.encode(self._own).decode()
        name = f'{roster.MEMBER_PREFIX}{self._own.instance_id}'
        self.documents.put(name, version, text)

    def _own_heartbeat(self) -> exchange.Heartbeat:
        return exchange.Heartbeat(self._own.incarnation, self._heartbeat_count)

    def _message(
        self,
        *,
        peer_vector_digest: str,
        with_versions: bool = False,
    ) -> exchange.Exchange:
        versions = self.documents.version_by_name if with_versions else None
        heartbeats = self._detector.heartbeat_by_id()
        own_vector = heartbeat_vector.build(heartbeats)
        same_vector = peer_vector_digest == own_vector.digest
        return exchange.Exchange(
            protocol=exchange.PROTOCOL_VERSION,
            sender=self._own,
            vector_digest=own_vector.digest,
            counts=own_vector.counts if same_vector else (),
            heartbeat_by_id={} if same_vector else heartbeats,
            newest_change=self._follower.newest,
            digest=self.documents.digest,
            version_by_name=versions,
        )

    def _choose_peers(self, addresses: list[str], count: int) -> list[str]:
        """Choose from a shuffled list, so that every peer is chosen in turn."""
        if not set(self._shuffled_addresses) & set(addresses):
            self._shuffled_addresses = self._rng.sample(
                addresses,
                len(addresses),
            )
        chosen = [
            address
            for address in self._shuffled_addresses
            if address in addresses and address not in self._task_by_address
        ][:count]
        self._shuffled_addresses = [
            address
            for address in self._shuffled_addresses
            if address not in chosen
        ]
        return chosen

    def _start(self, address: str) -> asyncio.Task[None]:
        task = asyncio.create_task(self._exchange(address))
        self._task_by_address[address] = task
        task.add_done_callback(
            lambda _: self._task_by_address.pop(address, None),
        )
        return task

    async def _exchange(self, address: str) -> None:
        try:
            received = await self._call(
                address,
                EXCHANGE_PATH,
                self._message(peer_vector_digest=self._received_vector_digest),
                exchange.Exchange,
            )
            self._apply(received)
            if received.version_by_name is not None:
                await self._reconcile(address, received.version_by_name)
        except errors.OatcrankError as error:
            logs.event('exchange_failed', peer=address, error=error)

    async def _reconcile(
        self,
        address: str,
        version_by_name: dict[str, int],
    ) -> None:
        newer = self.documents.newer_than(version_by_name)
        wanted = self.documents.outdated_names(version_by_name)
        if not newer and not wanted:
            return
        self._store_documents(
            await self._call(
                address,
                DOCUMENTS_PATH,
                exchange.DocumentExchange(documents=newer, wanted=wanted),
                exchange.DocumentExchange,
            ),
        )

    async def _call(
        self,
        address: str,
        path: str,
        message: msgspec.Struct,
        reply_type: type[Reply],
    ) -> Reply:
        body = msgspec.json.encode(message)
        self.bytes_sent += len(body)
        reply = await self._client.fetch(
            address,
            'POST',
            path,
            body,
            timeout_s=EXCHANGE_TIMEOUT_S,
        )
        self.bytes_received += len(reply)
        try:
            return decoding.from_json(reply, expected=reply_type)
        except msgspec.MsgspecError as error:
            raise errors.UnknownOutcome(f'unreadable reply: {error}') from error

    def _apply(self, received: exchange.Exchange) -> None:
        self._received_vector_digest = received.vector_digest
        own_vector = heartbeat_vector.build(self._detector.heartbeat_by_id())
        heartbeat_by_id = dict(received.heartbeat_by_id)
        if received.counts and received.vector_digest == own_vector.digest:
            heartbeat_by_id.update(own_vector.with_counts(received.counts))
        for instance_id, heartbeat in heartbeat_by_id.items():
            self._record_heartbeat(instance_id, heartbeat)
        self._follower.record_peer_update(
            received.sender.address,
            received.newest_change,
        )

    def _record_heartbeat(
        self,
        instance_id: str,
        heartbeat: exchange.Heartbeat,
    ) -> None:
        if instance_id != self._own.instance_id:
            self._detector.record(instance_id, heartbeat)
            return
        if heartbeat > self._own_heartbeat():
            self._raise_incarnation(heartbeat.incarnation)
        self._detector.record(instance_id, self._own_heartbeat())

    def _raise_incarnation(self, incarnation: int) -> None:
        """Use an incarnation above the one that peers know."""
        self._own = msgspec.structs.replace(
            self._own,
            incarnation=incarnation + 1,
        )
        self._publish()

    def _store_documents(self, received: exchange.DocumentExchange) -> None:
        own_name = f'{roster.MEMBER_PREFIX}{self._own.instance_id}'
        for document in received.documents:
            if document.name == own_name:
                known = decoding.from_json(
                    document.text, expected=member.Member
                )
                if known != self._own and (
                    known.incarnation >= self._own.incarnation
                ):
                    self._raise_incarnation(known.incarnation)
            else:
                self.documents.put(
                    document.name,
                    document.version,
                    document.text,
                )

    async def _read_list_forever(self) -> None:
        while True:
            try:
                await self.roster.read_list()
            except errors.PlatformError as error:
                logs.event('instance_list_read_failed', error=error)
            await asyncio.sleep(self.list_period_s)


def _instance_id(listed: member.Member) -> str:
    return listed.instance_id
