"""Remember which entry instances a profile's callers are to use."""

import asyncio

import msgspec

from oatcrank import errors, rpc

TIMEOUT_S = 2


class Addresses(msgspec.Struct, frozen=True):
    """Hold addresses as `ip:port`, best first, and for how long."""

    addresses: tuple[str, ...]
    keep_s: float


class AddressBook:
    """Ask any known entry instance and keep its answer for a while."""

    def __init__(
        self,
        client: rpc.Rpc,
        known: tuple[str, ...],
        profile: str,
    ) -> None:
        """Know some instances to ask, as `ip:port`."""
        self._client = client
        self._known = known
        self._profile = profile
        self._kept = Addresses((), 0)
        self._kept_until: float = 0

    async def read(self) -> tuple[str, ...]:
        """Return the addresses to use; raises errors.Unavailable."""
        now = asyncio.get_running_loop().time()
        if self._kept.addresses and now < self._kept_until:
            return self._kept.addresses
        for known in (*self._kept.addresses, *self._known):
            if await self._ask(known):
                self._kept_until = now + self._kept.keep_s
                return self._kept.addresses
        raise errors.Unavailable('no known entry instance answers')

    def forget(self) -> None:
        """Ask again at the next read."""
        self._kept_until = 0

    async def _ask(self, address: str) -> bool:
        try:
            answer = await self._client.get(
                address,
                f'/v1/addresses?profile={self._profile}',
                Addresses,
                timeout_s=TIMEOUT_S,
            )
        except (errors.PlatformError, rpc.RpcStatusError):
            return False
        if answer.addresses:
            self._kept = answer
        return bool(answer.addresses)
