"""Call other processes over HTTP with JSON bodies."""

from http import HTTPStatus
from typing import TypeVar

import msgspec
from tornado import httpclient, simple_httpclient

from oatcrank import decoding, errors
from oatcrank.transport import message

MAX_CONNECTIONS = 20_000
CONNECT_TIMEOUT_S = 1.0
MAX_SHOWN_BYTES = 200
MAX_ANSWER_BYTES = 33_554_432
JSON_TYPE = 'application/json'

Answer = TypeVar('Answer')


class RpcStatusError(errors.OatcrankError):
    """Raised for an answer with an error status."""

    def __init__(self, status: int, body: bytes) -> None:
        """Hold the status and the body."""
        super().__init__(f'status {status}: {body[:MAX_SHOWN_BYTES]!r}')
        self.status = status
        self.body = body


class Rpc:
    """Client for typed messages and answers."""

    def __init__(self) -> None:
        """Create a client without open connections."""
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONNECTIONS,
            max_buffer_size=MAX_ANSWER_BYTES,
            max_body_size=MAX_ANSWER_BYTES,
        )

    async def get(
        self,
        address: str,
        path: str,
        answer_type: type[Answer],
        *,
        timeout_s: float,
    ) -> Answer:
        """Send a GET request to a process at ip:port.

        Raises errors.Unavailable if the call had no effect,
        errors.UnknownOutcome if its answer was lost, and RpcStatusError for an
        error status.
        """
        body = await self.fetch(address, 'GET', path, None, timeout_s=timeout_s)
        return _decoded(body, answer_type)

    async def post(
        self,
        address: str,
        path: str,
        sent: msgspec.Struct,
        answer_type: type[Answer],
        *,
        timeout_s: float,
    ) -> Answer:
        """Send a POST request to a process at ip:port; raises like get."""
        body = await self.fetch(
            address,
            'POST',
            path,
            msgspec.json.encode(sent),
            timeout_s=timeout_s,
        )
        return _decoded(body, answer_type)

    async def fetch(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        *,
        timeout_s: float,
    ) -> bytes:
        """Send an encoded body and return the raw answer; raises like get."""
        request = httpclient.HTTPRequest(
            f'http://{address}{path}',
            method=method,
            body=body,
            headers={'Content-Type': JSON_TYPE},
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
            follow_redirects=False,
        )
        answer = await self._send(request)
        if not message.is_final(answer.code):
            raise errors.UnknownOutcome(
                f'{request.url}: no answer has status {answer.code}'
            )
        if answer.code >= HTTPStatus.BAD_REQUEST:
            raise RpcStatusError(answer.code, answer.body or b'')
        return answer.body or b''

    def close(self) -> None:
        """Close every connection."""
        self._client.close()

    async def _send(
        self,
        request: httpclient.HTTPRequest,
    ) -> httpclient.HTTPResponse:
        try:
            return await self._client.fetch(request, raise_error=False)
        except (ConnectionRefusedError, OverflowError, ValueError) as error:
            # The last two mean that the address is invalid.
            raise errors.Unavailable(f'{request.url}: {error}') from error
        except simple_httpclient.HTTPTimeoutError as error:
            raise _timeout_error(request, error) from error
        except (OSError, httpclient.HTTPError) as error:
            raise errors.UnknownOutcome(f'{request.url}: {error}') from error


def _timeout_error(
    request: httpclient.HTTPRequest,
    error: simple_httpclient.HTTPTimeoutError,
) -> errors.PlatformError:
    # tornado raises one exception type for all timeouts; only its message shows
    # whether the request was sent.
    if 'during request' in str(error):
        return errors.UnknownOutcome(f'{request.url}: {error}')
    return errors.Unavailable(f'{request.url}: {error}')


def _decoded(body: bytes, answer_type: type[Answer]) -> Answer:
    try:
        return decoding.from_json(body, expected=answer_type)
    except msgspec.MsgspecError as error:
        raise errors.UnknownOutcome(f'unreadable answer: {error}') from error
