"""HTTP client for the platform's instance list."""

import msgspec

from oatcrank import decoding, errors, rpc
from oatcrank.membership import instance_list
from oatcrank.store import platform_call


class _Listing(msgspec.Struct, frozen=True):
    instances: tuple[instance_list.Instance, ...] = ()


class HttpInstanceList(instance_list.InstanceList):
    """Client of the list at one address."""

    def __init__(
        self,
        client: rpc.Rpc,
        address: str,
        *,
        timeout_s: float,
    ) -> None:
        """Create a client for `ip:port`; timeout_s limits each call."""
        self._client = client
        self._address = address
        self._timeout_s = timeout_s

    async def read(self) -> tuple[instance_list.Instance, ...]:
        """Return the listed instances."""
        try:
            body = await platform_call.read(
                self._client,
                self._address,
                '/v1/instances',
                timeout_s=self._timeout_s,
            )
            return decoding.from_json(body, expected=_Listing).instances
        except (rpc.RpcStatusError, msgspec.MsgspecError) as error:
            raise errors.Unavailable(f'instance list: {error}') from error
