"""Keep up with the change log, by few watches and by news from peers."""

import asyncio
from collections.abc import Callable

from oatcrank import clock, errors, logs, rpc
from oatcrank.configuration import change_log, change_news, snapshot_store
from oatcrank.membership import members, rendezvous
from oatcrank.settings import configuration_settings

CHANGES_PATH = '/internal/changes'
ISOLATED_AFTER_S = 5.0
FETCH_TIMEOUT_S = 2.0
UNINFORMED = -1
MILLISECONDS_PER_S = 1000


class ChangeFollower:
    """Bring every accepted change into the log within seconds.

    A few members of a cell watch the next record; the rest hear the newest
    number in every peer exchange and fetch what they lack from that peer.
    """

    def __init__(
        self,
        log: change_log.ChangeLog,
        snapshots: snapshot_store.SnapshotStore,
        *,
        settings: configuration_settings.ConfigurationSettings,
        time: clock.Clock,
        peer_rpc: rpc.Rpc,
        isolated_after_s: float = ISOLATED_AFTER_S,
    ) -> None:
        """Follow a log; members and aloneness are set before run."""
        self.members: members.Members | None = None
        self.known_alone: Callable[[], bool] = _never
        self._log = log
        self._snapshots = snapshots
        self._settings = settings
        self._time = time
        self._rpc = peer_rpc
        self._isolated_after_s = isolated_after_s
        self._reached_s = time.now()
        self._heard_peer_s = time.now()
        self._loaded = False
        self._informed = False
        self._fetch_by_address: dict[str, asyncio.Task[None]] = {}

    @property
    def isolated(self) -> bool:
        """Say whether others may have accepted changes unheard of here."""
        if not self._informed:
            return True
        silent_s = self._time.now() - self._reached_s
        return silent_s > self._isolated_after_s and not self.known_alone()

    @property
    def newest(self) -> int:
        """Return the newest change here, or UNINFORMED before the first."""
        return self._log.newest if self._informed else UNINFORMED

    def heard_peer(self, address: str, newest: int) -> None:
        """Note an exchange with a peer and fetch the changes it has more."""
        if newest == UNINFORMED:
            return
        self._heard_peer_s = self._time.now()
        if newest <= self._log.newest:
            self._note_reached()
            return
        if address in self._fetch_by_address:
            return
        task = asyncio.create_task(self._fetch(address, newest))
        self._fetch_by_address[address] = task
        task.add_done_callback(
            lambda _: self._fetch_by_address.pop(address, None),
        )

    async def run(self) -> None:
        """Follow until cancelled."""
        try:
            while True:
                await self._step()
        finally:
            for task in tuple(self._fetch_by_address.values()):
                task.cancel()

    def watches(self) -> bool:
        """Say whether this member is one of its cell's watchers."""
        if self.members is None:
            return True
        this = self.members.this
        names = {found.instance_id for found in self.members.alive()}
        watchers = rendezvous.ranked('changes', names | {this.instance_id})
        count = self._settings.watchers_per_cell
        return this.instance_id in watchers[:count]

    async def _step(self) -> None:
        try:
            await self._read()
        except errors.PlatformError as error:
            logs.event('change_log_unread', error=error)
            pause_s = self._settings.retry_ms / MILLISECONDS_PER_S
            await asyncio.sleep(pause_s)

    async def _read(self) -> None:
        wait_s = self._settings.watch_wait_ms / MILLISECONDS_PER_S
        if not self._loaded:
            await self._snapshots.load()
            self._loaded = True
        elif self.watches():
            # A silent watch must not outlast what isolation waits for.
            wait_s = min(wait_s, self._isolated_after_s / 2)
            await self._log.wait_next(wait_s=wait_s)
        else:
            await self._log.catch_up()
            self._note_reached()
            await self._pause(wait_s)
            return
        self._note_reached()

    async def _pause(self, wait_s: float) -> None:
        """Leave the news to the peers while they bring any."""
        slice_s = min(wait_s, self._isolated_after_s / 4)
        start_s = self._time.now()
        while self._time.now() - start_s < wait_s:
            await asyncio.sleep(slice_s)
            if self._time.now() - self._heard_peer_s > slice_s:
                return

    def _note_reached(self) -> None:
        self._reached_s = self._time.now()
        self._informed = True

    async def _fetch(self, address: str, newest: int) -> None:
        while self._log.newest < newest:
            before = self._log.newest
            try:
                news = await self._rpc.post(
                    address,
                    CHANGES_PATH,
                    change_news.ChangesWanted(after=before),
                    change_news.ChangeNews,
                    timeout_s=FETCH_TIMEOUT_S,
                )
            except errors.OatcrankError as error:
                logs.event('changes_unfetched', peer=address, error=error)
                return
            self._log.take(news)
            if self._log.newest == before:
                return
        self._note_reached()


def _never() -> bool:
    return False
