"""Keep this instance registered while it lives."""

import asyncio

import msgspec

from oatcrank import errors, logs
from oatcrank.cluster import members, mirror, store

MEMBERS_PREFIX = 'members/'
TERM_S = 2.0
RENEW_S = 0.7
RENEW_WITHIN_S = 1.0
RETRY_S = 0.3


class Session:
    """Hold one lease of the store, and the registration under it."""

    def __init__(
        self,
        kept_in: store.Store,
        known: members.Members,
        seen: mirror.Mirror,
    ) -> None:
        """Register this instance as its members tell of it."""
        self._mirror = seen
        self._failing = False
        self.lease: store.LeaseId | None = None
        self._store = kept_in
        self._members = known
        self._written = b''
        self._wake = asyncio.Event()

    @property
    def key(self) -> str:
        """Return the key of this instance's registration."""
        return MEMBERS_PREFIX + self._members.own.instance_id

    def tell(self) -> None:
        """Register what has changed, soon."""
        self._wake.set()

    async def run(self) -> None:
        """Register and renew until cancelled."""
        while True:
            pause_s = RENEW_S
            try:
                await self._step()
            except errors.PlatformError as error:
                logs.event('session_unrenewed', error=error)
                self._failing = True
                pause_s = RETRY_S
            else:
                self._note_answer()
            await self._pause(pause_s)

    async def keep(self, within_s: float) -> None:
        """Renew the lease; when it has ended, a new one follows."""
        if self.lease is None:
            return
        try:
            await self._store.keep(self.lease, within_s)
        except store.LeaseEnded:
            logs.event('session_ended')
            self.lease = None
            raise

    async def end(self) -> None:
        """Take the registration back."""
        if self.lease is None:
            return
        try:
            await self._store.end(self.lease)
        except errors.PlatformError as error:
            # It then ends by itself.
            logs.event('session_not_ended', error=error)

    def _note_answer(self) -> None:
        """Renew the watch once the store answers again."""
        if self._failing:
            self._failing = False
            self._mirror.doubt()

    async def _step(self) -> None:
        if self.lease is None:
            self._written = b''
            self.lease = await self._store.grant(TERM_S)
        else:
            await self.keep(RENEW_WITHIN_S)
        await self._register(self.lease)

    async def _register(self, lease: store.LeaseId | None) -> None:
        encoded = msgspec.json.encode(self._members.own)
        if lease is None or encoded == self._written:
            return
        try:
            await self._store.write(
                store.Write(
                    value_by_key={self.key: encoded},
                    leased=lease,
                    leased_keys=frozenset((self.key,)),
                ),
            )
        except store.LeaseEnded:
            self.lease = None
            raise
        self._written = encoded

    async def _pause(self, seconds: float) -> None:
        self._wake.clear()
        try:
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        except TimeoutError:
            return
