"""Cache the addresses of the entry instances that serve a profile."""

import asyncio

import msgspec

from oatcrank import errors, rpc

TIMEOUT_S = 2


class Addresses(msgspec.Struct, frozen=True):
    """Addresses as `ip:port`, best first, valid for keep_s seconds."""

    addresses: tuple[str, ...]
    keep_s: float


class AddressCache:
    """Cache the addresses that a known entry instance returns."""

    def __init__(
        self,
        client: rpc.Rpc,
        entry_addresses: tuple[str, ...],
        profile: str,
    ) -> None:
        """Create an empty cache; known entry instances are `ip:port`."""
        self._client = client
        self._entry_addresses = entry_addresses
        self._profile = profile
        self._cached = Addresses((), 0)
        self._cached_until: float = 0

    async def read(self) -> tuple[str, ...]:
        """Return valid addresses; raises errors.Unavailable."""
        now = asyncio.get_running_loop().time()
        if self._cached.addresses and now < self._cached_until:
            return self._cached.addresses
        for address in (*self._cached.addresses, *self._entry_addresses):
            if await self._request_from(address):
                self._cached_until = now + self._cached.keep_s
                return self._cached.addresses
        raise errors.Unavailable('no known entry instance returned an address')

    def invalidate(self) -> None:
        """Make the next read request the addresses again."""
        self._cached_until = 0

    async def _request_from(self, address: str) -> bool:
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
            self._cached = answer
        return bool(answer.addresses)
