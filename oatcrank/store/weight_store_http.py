"""HTTP client for the weight store."""

import msgspec

from oatcrank import decoding, errors, rpc
from oatcrank.store import platform_call, weight_store


class HttpWeightStore(weight_store.WeightStore):
    """Client of the store at one address."""

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

    async def catalogue(self) -> weight_store.Catalogue:
        """Return the catalogue."""
        try:
            body = await platform_call.read(
                self._client,
                self._address,
                '/v1/catalogue',
                timeout_s=self._timeout_s,
            )
            return decoding.from_json(body, expected=weight_store.Catalogue)
        except (rpc.RpcStatusError, msgspec.MsgspecError) as error:
            raise errors.Unavailable(f'weight store: {error}') from error
