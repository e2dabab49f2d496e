"""HTTP client for model engines."""

import msgspec

from oatcrank import decoding, errors, ids, rpc
from oatcrank.engines import engine, order
from oatcrank.store import platform_call


class _Cancel(msgspec.Struct, frozen=True):
    request_id: ids.RequestId


class _OutdatedFence(msgspec.Struct, frozen=True):
    fence: ids.Revision


class HttpModelEngine(engine.ModelEngine):
    """Client of the engine at one address."""

    def __init__(
        self,
        client: rpc.Rpc,
        address: str,
        *,
        timeout_s: float,
    ) -> None:
        """Create a client for `ip:port`; timeout_s limits each cancel call."""
        self._client = client
        self._address = address
        self._timeout_s = timeout_s

    async def order(self, new_order: order.Order, *, timeout_s: float) -> None:
        """Send an order; a later report shows its result."""
        try:
            await self._write(
                '/v1/orders', msgspec.json.encode(new_order), timeout_s
            )
        except rpc.RpcStatusError as error:
            raise errors.Conflict(
                f'fence of {self._address}', _current_fence(error)
            ) from error

    async def report(self, *, timeout_s: float) -> engine.EngineReport:
        """Return the current report."""
        try:
            body = await platform_call.read(
                self._client, self._address, '/v1/report', timeout_s=timeout_s
            )
            return decoding.from_json(body, expected=engine.EngineReport)
        except (rpc.RpcStatusError, msgspec.MsgspecError) as error:
            raise errors.Unavailable(f'report: {error}') from error

    async def cancel(self, request_id: ids.RequestId) -> None:
        """Stop a running request."""
        wanted = msgspec.json.encode(_Cancel(request_id))
        try:
            await self._write('/v1/cancel', wanted, self._timeout_s)
        except (errors.UnknownOutcome, rpc.RpcStatusError) as error:
            raise errors.Unavailable(f'cancel: {error}') from error

    async def _write(self, path: str, body: bytes, timeout_s: float) -> None:
        await platform_call.write(
            self._client, self._address, 'POST', path, body, timeout_s=timeout_s
        )


def _current_fence(error: rpc.RpcStatusError) -> ids.Revision:
    try:
        return decoding.from_json(error.body, expected=_OutdatedFence).fence
    except msgspec.MsgspecError:
        return ids.Revision(0)
