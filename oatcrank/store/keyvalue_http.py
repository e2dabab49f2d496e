"""HTTP client for the key-value service."""

from urllib import parse as url_parse

import msgspec

from oatcrank import decoding, errors, ids, rpc
from oatcrank.store import keyvalue, platform_call


class _Put(msgspec.Struct, frozen=True):
    value: str
    expected: ids.Revision


class _Written(msgspec.Struct, frozen=True):
    revision: ids.Revision


class HttpKeyValue(keyvalue.KeyValue):
    """Client of the service at one address."""

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

    async def get(self, key: str) -> keyvalue.Entry | None:
        """Return the entry, which may be stale, or None if absent."""
        try:
            body = await platform_call.read(
                self._client,
                self._address,
                _path('keys', key),
                timeout_s=self._timeout_s,
            )
        except rpc.RpcStatusError:
            return None
        return _decode_entry(body)

    async def put(
        self,
        key: str,
        value: str,
        *,
        expected: ids.Revision,
    ) -> ids.Revision:
        """Write if the revision matches and return the new revision."""
        encoded = msgspec.json.encode(_Put(value=value, expected=expected))
        try:
            body = await self._write('PUT', key, encoded)
        except rpc.RpcStatusError as error:
            raise errors.Conflict(
                key, _decode_written(error.body).revision
            ) from error
        return _decode_written(body).revision

    async def delete(self, key: str) -> None:
        """Delete the key."""
        try:
            await self._write('DELETE', key, None)
        except rpc.RpcStatusError as error:
            raise platform_call.error_for_refusal(error) from error

    async def watch(
        self,
        key: str,
        *,
        after: ids.Revision,
        wait_s: float,
    ) -> keyvalue.Entry | None:
        """Return the first entry newer than after, or None on timeout."""
        query = url_parse.urlencode({'after': after, 'wait_s': wait_s})
        path = _path('watch', key)
        try:
            body = await platform_call.read(
                self._client,
                self._address,
                f'{path}?{query}',
                timeout_s=wait_s + self._timeout_s,
            )
        except rpc.RpcStatusError:
            return None
        return _decode_entry(body) if body else None

    async def _write(self, method: str, key: str, body: bytes | None) -> bytes:
        return await platform_call.write(
            self._client,
            self._address,
            method,
            _path('keys', key),
            body,
            timeout_s=self._timeout_s,
        )


def _path(kind: str, key: str) -> str:
    quoted = url_parse.quote(key, safe='/')
    return f'/v1/{kind}/{quoted}'


def _decode_entry(body: bytes) -> keyvalue.Entry:
    try:
        return decoding.from_json(body, expected=keyvalue.Entry)
    except msgspec.MsgspecError as error:
        raise errors.Unavailable(f'unreadable entry: {error}') from error


def _decode_written(body: bytes) -> _Written:
    try:
        return decoding.from_json(body, expected=_Written)
    except msgspec.MsgspecError as error:
        raise errors.UnknownOutcome(f'unreadable answer: {error}') from error
