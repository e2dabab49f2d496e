"""Follow the change log by watches and by updates from peers."""

import asyncio
from collections.abc import Callable

from oatcrank import clock, errors, logs, rpc
from oatcrank.configuration import change_log, change_update, snapshot_store
from oatcrank.membership import members, rendezvous
from oatcrank.settings import configuration_settings

CHANGES_PATH = '/internal/changes'
ISOLATED_AFTER_S = 5.0
FETCH_TIMEOUT_S = 2.0
NO_CHANGE_READ = -1
MS_PER_S = 1000


class ChangeFollower:
    """Apply every accepted change to the local log within seconds.

    A few members of a cell watch the next record.  The others receive the
    newest number in every peer exchange and fetch missing changes from that
    peer.
    """

    def __init__(
        self,
        log: change_log.ChangeLog,
        snapshots: snapshot_store.SnapshotStore,
        *,
        settings: configuration_settings.ConfigurationSettings,
        clock: clock.Clock,
        client: rpc.Rpc,
        isolated_after_s: float = ISOLATED_AFTER_S,
    ) -> None:
        """Follow a log; set members and is_only_instance before run."""
        self.members: members.Members | None = None
        self.is_only_instance: Callable[[], bool] = _never
        self._log = log
        self._snapshots = snapshots
        self._settings = settings
        self._clock = clock
        self._client = client
        self._isolated_after_s = isolated_after_s
        self._reached_at = clock.now()
        self._peer_update_at = clock.now()
        self._is_snapshot_loaded = False
        self._is_caught_up = False
        self._fetch_task_by_address: dict[str, asyncio.Task[None]] = {}

    @property
    def isolated(self) -> bool:
        """Return whether other instances may have accepted unknown changes."""
        if not self._is_caught_up:
            return True
        unreached_s = self._clock.now() - self._reached_at
        return (
            unreached_s > self._isolated_after_s and not self.is_only_instance()
        )

    @property
    def newest(self) -> int:
        """Return the newest applied change, or NO_CHANGE_READ at the start."""
        return self._log.newest if self._is_caught_up else NO_CHANGE_READ

    def record_peer_update(self, address: str, newest: int) -> None:
        """Record an exchange with a peer and fetch the changes missing here."""
        if newest == NO_CHANGE_READ:
            return
        self._peer_update_at = self._clock.now()
        if newest <= self._log.newest:
            self._record_reached()
            return
        if address in self._fetch_task_by_address:
            return
        task = asyncio.create_task(self._fetch(address, newest))
        self._fetch_task_by_address[address] = task
        task.add_done_callback(
            lambda _: self._fetch_task_by_address.pop(address, None),
        )

    async def run(self) -> None:
        """Follow until cancelled."""
        try:
            while True:
                await self._follow_step()
        finally:
            for task in tuple(self._fetch_task_by_address.values()):
                task.cancel()

    def is_watcher(self) -> bool:
        """Return whether this member is one of its cell's watchers."""
        if self.members is None:
            return True
        own = self.members.own
        names = {member.instance_id for member in self.members.alive()}
        watchers = rendezvous.ranked('changes', names | {own.instance_id})
        count = self._settings.watchers_per_cell
        return own.instance_id in watchers[:count]

    async def _follow_step(self) -> None:
        try:
            await self._read_log()
        except errors.PlatformError as error:
            logs.event('change_log_read_failed', error=error)
            pause_s = self._settings.retry_ms / MS_PER_S
            await asyncio.sleep(pause_s)

    async def _read_log(self) -> None:
        wait_s = self._settings.watch_wait_ms / MS_PER_S
        if not self._is_snapshot_loaded:
            await self._snapshots.load()
            self._is_snapshot_loaded = True
        elif self.is_watcher():
            # A watch without a result must end before isolation is assumed.
            wait_s = min(wait_s, self._isolated_after_s / 2)
            await self._log.wait_next(wait_s=wait_s)
        else:
            await self._log.catch_up()
            self._record_reached()
            await self._await_updates(wait_s)
            return
        self._record_reached()

    async def _await_updates(self, wait_s: float) -> None:
        """Wait up to wait_s, but only while peers keep sending updates."""
        slice_s = min(wait_s, self._isolated_after_s / 4)
        started_at = self._clock.now()
        while self._clock.now() - started_at < wait_s:
            await asyncio.sleep(slice_s)
            if self._clock.now() - self._peer_update_at > slice_s:
                return

    def _record_reached(self) -> None:
        self._reached_at = self._clock.now()
        self._is_caught_up = True

    async def _fetch(self, address: str, newest: int) -> None:
        while self._log.newest < newest:
            previous_newest = self._log.newest
            try:
                update = await self._client.post(
                    address,
                    CHANGES_PATH,
                    change_update.ChangesRequest(after=previous_newest),
                    change_update.ChangeUpdate,
                    timeout_s=FETCH_TIMEOUT_S,
                )
            except errors.OatcrankError as error:
                logs.event('changes_fetch_failed', peer=address, error=error)
                return
            self._log.apply_update(update)
            if self._log.newest == previous_newest:
                return
        self._record_reached()


def _never() -> bool:
    return False
