"""Know the other entry instances by exchanges with a few of them."""

import asyncio
import itertools
import random
from typing import TypeVar

import msgspec

from oatcrank import clock, errors, logs, rpc
from oatcrank.configuration import change_follower
from oatcrank.membership import (
    documents,
    exchange,
    failure_detector,
    instance_list,
    member,
    members,
    roll,
    roster,
)
from oatcrank.settings import membership_settings

EXCHANGE_PATH = '/internal/exchange'
DOCUMENTS_PATH = '/internal/documents'
MILLISECONDS_PER_S = 1000
EXCHANGE_TIMEOUT_S = 1.0
LIST_PERIOD_S = 1.0
LINK_EVERY = 4
LARGE_CELL = 16
LARGE_CELL_PATIENCE = 1.6

Answer = TypeVar('Answer')


class Membership(members.Members):
    """Exchange beats and documents, each with one task per exchange.

    Beats travel within a cell; documents and the newest change also over a
    few links to other cells.
    """

    def __init__(
        self,
        this: member.Member,
        *,
        settings: membership_settings.MembershipSettings,
        listing: instance_list.InstanceList,
        peer_rpc: rpc.Rpc,
        time: clock.Clock,
        shared: documents.Documents,
        follower: change_follower.ChangeFollower,
    ) -> None:
        """Speak in the name of one member."""
        self.documents = shared
        self.bytes_sent = 0
        self.bytes_received = 0
        self._this = this
        self._settings = settings
        self._rpc = peer_rpc
        self._follower = follower
        self.list_period_s = LIST_PERIOD_S
        self._dead_after_s = settings.dead_after_ms / MILLISECONDS_PER_S
        self._detector = failure_detector.FailureDetector(
            dead_after_s=self._dead_after_s,
            time=time,
        )
        self.roster = roster.Roster(
            this.instance_id,
            listing=listing,
            shared=shared,
            detector=self._detector,
            cell_size=settings.cell_size,
            time=time,
        )
        self._beat = 0
        self._heard_roll = ''
        self._deck: list[str] = []
        self._task_by_address: dict[str, asyncio.Task[None]] = {}
        self._choice = random.Random(f'{this.instance_id}/{this.incarnation}')
        self._publish()
        follower.members = self
        follower.known_alone = self.roster.known_alone

    @property
    def this(self) -> member.Member:
        """Return this instance."""
        return self._this

    def alive(self) -> tuple[member.Member, ...]:
        """Return the members believed alive, ordered by instance id."""
        found = (*self.roster.alive(), self._this)
        return tuple(sorted(found, key=_instance_id))

    def directory(self) -> tuple[member.Member, ...]:
        """Return the members that new callers may be sent to."""
        return tuple(found for found in self.alive() if not found.leaving)

    def leave(self) -> None:
        """Tell the peers that this instance takes no new callers."""
        self._this = msgspec.structs.replace(self._this, leaving=True)
        self._publish()

    async def run(self) -> None:
        """Exchange until cancelled."""
        reading = asyncio.create_task(self._read_list_forever())
        period_s = self._settings.exchange_period_ms / MILLISECONDS_PER_S
        try:
            for number in itertools.count():
                self.start_exchanges(links=number % LINK_EVERY == 0)
                await asyncio.sleep(period_s)
        finally:
            reading.cancel()
            for task in tuple(self._task_by_address.values()):
                task.cancel()

    def start_exchanges(self, *, links: bool) -> tuple[asyncio.Task[None], ...]:
        """Beat, and start an exchange with each of a few random peers."""
        self._beat += 1
        self._note(self._this.instance_id, self._own_beat())
        inside = self.roster.near()
        count = self._settings.peers_per_exchange
        patience = 1.0
        if len(inside) >= LARGE_CELL:
            count = 1
            patience = LARGE_CELL_PATIENCE
        self._detector.dead_after_s = self._dead_after_s * patience
        picked = self._pick(inside, count)
        if links:
            far = self.roster.far()
            picked += self._choice.sample(far, min(1, len(far)))
        return tuple(
            self._start(address)
            for address in picked
            if address not in self._task_by_address
        )

    def answer(self, heard: exchange.Exchange) -> exchange.Exchange:
        """Take a peer's push and return this instance's."""
        self._take(heard)
        same = heard.digest == self.documents.digest
        said = self._message(
            peer_roll=heard.roll,
            with_versions=not same,
        )
        # A peer that was replaced learns what is remembered of it.
        name = heard.sender.instance_id
        remembered = self._detector.beat(name)
        told = heard.beat_by_id.get(name)
        if told is not None and remembered is not None and told < remembered:
            beat_by_id = {**said.beat_by_id, name: remembered}
            return msgspec.structs.replace(said, beat_by_id=beat_by_id)
        return said

    def answer_documents(
        self,
        heard: exchange.DocumentExchange,
    ) -> exchange.DocumentExchange:
        """Take a peer's documents and return those it wants."""
        self._take_documents(heard)
        return exchange.DocumentExchange(
            documents=self.documents.select(heard.wanted),
        )

    def _publish(self) -> None:
        # Leaving comes after all else that one incarnation says of itself.
        version = self._this.incarnation * 2 + int(self._this.leaving)
        text = msgspec.json.encode(self._this).decode()
        name = f'{roster.MEMBER_PREFIX}{self._this.instance_id}'
        self.documents.put(name, version, text)

    def _own_beat(self) -> exchange.Beat:
        return exchange.Beat(self._this.incarnation, self._beat)

    def _message(
        self,
        *,
        peer_roll: str,
        with_versions: bool = False,
    ) -> exchange.Exchange:
        versions = self.documents.version_by_name if with_versions else None
        beats = self._detector.beat_by_id()
        own = roll.roll_of(beats)
        same = peer_roll == own.digest
        return exchange.Exchange(
            protocol=exchange.PROTOCOL_VERSION,
            sender=self._this,
            roll=own.digest,
            counts=own.counts if same else (),
            beat_by_id={} if same else beats,
            newest_change=self._follower.newest,
            digest=self.documents.digest,
            version_by_name=versions,
        )

    def _pick(self, addresses: list[str], count: int) -> list[str]:
        """Deal from a shuffled deck, so that no peer waits for long."""
        if not set(self._deck) & set(addresses):
            self._deck = self._choice.sample(addresses, len(addresses))
        dealt = [
            address
            for address in self._deck
            if address in addresses and address not in self._task_by_address
        ][:count]
        self._deck = [one for one in self._deck if one not in dealt]
        return dealt

    def _start(self, address: str) -> asyncio.Task[None]:
        task = asyncio.create_task(self._exchange(address))
        self._task_by_address[address] = task
        task.add_done_callback(
            lambda _: self._task_by_address.pop(address, None),
        )
        return task

    async def _exchange(self, address: str) -> None:
        try:
            heard = await self._call(
                address,
                EXCHANGE_PATH,
                self._message(peer_roll=self._heard_roll),
                exchange.Exchange,
            )
            self._take(heard)
            if heard.version_by_name is not None:
                await self._reconcile(address, heard.version_by_name)
        except errors.OatcrankError as error:
            logs.event('exchange_failed', peer=address, error=error)

    async def _reconcile(
        self,
        address: str,
        version_by_name: dict[str, int],
    ) -> None:
        newer = self.documents.newer_than(version_by_name)
        wanted = self.documents.wanted(version_by_name)
        if not newer and not wanted:
            return
        self._take_documents(
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
        answer_type: type[Answer],
    ) -> Answer:
        body = msgspec.json.encode(message)
        self.bytes_sent += len(body)
        text = await self._rpc.fetch(
            address,
            'POST',
            path,
            body,
            timeout_s=EXCHANGE_TIMEOUT_S,
        )
        self.bytes_received += len(text)
        try:
            return msgspec.json.decode(text, type=answer_type)
        except msgspec.MsgspecError as error:
            raise errors.UnknownOutcome(f'unreadable: {error}') from error

    def _take(self, heard: exchange.Exchange) -> None:
        self._heard_roll = heard.roll
        own = roll.roll_of(self._detector.beat_by_id())
        beat_by_id = dict(heard.beat_by_id)
        if heard.counts and heard.roll == own.digest:
            beat_by_id.update(own.with_counts(heard.counts))
        for instance_id, beat in beat_by_id.items():
            self._note(instance_id, beat)
        self._follower.heard_peer(heard.sender.address, heard.newest_change)

    def _note(self, instance_id: str, beat: exchange.Beat) -> None:
        if instance_id != self._this.instance_id:
            self._detector.note(instance_id, beat)
            return
        if beat > self._own_beat():
            self._outbid(beat.incarnation)
        self._detector.note(instance_id, self._own_beat())

    def _outbid(self, incarnation: int) -> None:
        """Rise above what peers remember of an earlier start."""
        self._this = msgspec.structs.replace(
            self._this,
            incarnation=incarnation + 1,
        )
        self._publish()

    def _take_documents(self, heard: exchange.DocumentExchange) -> None:
        own = f'{roster.MEMBER_PREFIX}{self._this.instance_id}'
        for found in heard.documents:
            if found.name == own:
                told = msgspec.json.decode(found.text, type=member.Member)
                if told != self._this and (
                    told.incarnation >= self._this.incarnation
                ):
                    self._outbid(told.incarnation)
            else:
                self.documents.put(found.name, found.version, found.text)

    async def _read_list_forever(self) -> None:
        while True:
            try:
                await self.roster.read_list()
            except errors.PlatformError as error:
                logs.event('instance_list_unread', error=error)
            await asyncio.sleep(self.list_period_s)


def _instance_id(found: member.Member) -> str:
    return found.instance_id
