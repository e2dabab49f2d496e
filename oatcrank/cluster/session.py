"""Keep this instance registered in the store."""

import asyncio

import msgspec

from oatcrank import errors, ids, logs
from oatcrank.cluster import members, store, store_mirror
from oatcrank.orders import boot_clock

MEMBERS_PREFIX = 'members/'
LEASE_DURATION_S = 2.0
RENEW_INTERVAL_S = 0.9
RENEW_TIMEOUT_S = 0.5
RETRY_INTERVAL_S = 0.2


class Session:
    """Hold a lease of the store and this instance's registration under it."""

    def __init__(
        self,
        store_client: store.Store,
        members: members.Members,
        mirror: store_mirror.StoreMirror,
    ) -> None:
        """Register this instance as described in members.own."""
        self._mirror = mirror
        self._watch_is_suspect = False
        self.lease_id: ids.LeaseId | None = None
        self._store = store_client
        self._members = members
        self._registered = b''
        self._wake = asyncio.Event()

    @property
    def key(self) -> str:
        """Return the key of this instance's registration."""
        return MEMBERS_PREFIX + self._members.own.instance_id

    def request_update(self) -> None:
        """Request that a changed registration is written without delay."""
        self._wake.set()

    async def run(self) -> None:
        """Register and renew until cancelled."""
        while True:
            pause_s = RENEW_INTERVAL_S
            try:
                await self._step()
            except errors.PlatformError as error:
                logs.event('session_renewal_failed', error=error)
                self._watch_is_suspect = True
                pause_s = RETRY_INTERVAL_S
            else:
                self._restart_suspect_watch()
            await self._pause(pause_s)

    async def renew(self, timeout_s: float) -> None:
        """Renew the lease; if it has ended, run() acquires a new one."""
        if self.lease_id is None:
            return
        sent_s = boot_clock.now()
        try:
            await self._store.renew_lease(self.lease_id, timeout_s)
        except store.LeaseEnded:
            logs.event('session_ended')
            self._forget_lease()
            raise
        self._members.record_own_lease(sent_s + LEASE_DURATION_S)
        self._mirror.confirm()

    async def close(self) -> None:
        """Remove the registration by ending the lease."""
        if self.lease_id is None:
            return
        try:
            await self._store.end_lease(self.lease_id)
        except errors.PlatformError as error:
            # The lease then expires.
            logs.event('session_end_failed', error=error)

    def _restart_suspect_watch(self) -> None:
        """Restart a watch that may have lost its store."""
        if self._watch_is_suspect:
            self._watch_is_suspect = False
            self._mirror.restart_watch()

    async def _step(self) -> None:
        if self.lease_id is None:
            await self._begin_lease()
        else:
            await self.renew(RENEW_TIMEOUT_S)
        await self._register(self.lease_id)

    async def _begin_lease(self) -> None:
        self._registered = b''
        sent_s = boot_clock.now()
        self.lease_id = await self._store.grant_lease(LEASE_DURATION_S)
        self._members.record_own_lease(sent_s + LEASE_DURATION_S)

    def _forget_lease(self) -> None:
        self.lease_id = None
        self._members.record_own_lease(boot_clock.now())
        # A restored store may never answer a watch that began before.
        self._watch_is_suspect = True
        self._wake.set()

    async def _register(self, lease_id: ids.LeaseId | None) -> None:
        encoded = msgspec.json.encode(self._members.own)
        if lease_id is None or encoded == self._registered:
            return
        try:
            await self._store.write(
                store.Transaction(
                    value_by_key={self.key: encoded},
                    lease_id=lease_id,
                    leased_keys=frozenset((self.key,)),
                ),
            )
        except store.LeaseEnded:
            self._forget_lease()
            raise
        self._registered = encoded

    async def _pause(self, seconds: float) -> None:
        self._wake.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return
