"""Call oatcrank like a client application of a site."""

import time
import uuid
from http import HTTPStatus
from typing import Any

import msgspec
from tornado import httpclient, simple_httpclient

from emulator import (
    address_cache,
    answer_text,
    call_outcome,
    completion_request,
    stream_reader,
)
from oatcrank import errors, refusal, rpc

TIMEOUT_S = 120
CONNECT_TIMEOUT_S = 1


class Caller:
    """Client that sends the requests of one profile."""

    def __init__(
        self,
        client: rpc.Rpc,
        entry_addresses: tuple[str, ...],
        profile: str,
    ) -> None:
        """Discover addresses through known entry instances (`ip:port`)."""
        self.address_cache = address_cache.AddressCache(
            client, entry_addresses, profile
        )
        self._profile = profile
        self._http = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=rpc.MAX_CONNECTIONS
        )

    async def complete(
        self,
        request_body: completion_request.CompletionRequest,
        *,
        key: str = '',
    ) -> call_outcome.CallOutcome:
        """Request a streamed answer and verify it."""
        reader = stream_reader.StreamReader(time.monotonic())
        request = {
            'method': 'POST',
            'body': msgspec.json.encode(request_body),
            'headers': self._headers(key, request_body.request_id),
        }
        received = bytearray()

        def receive(chunk: bytes) -> None:
            received.extend(chunk)
            if received.startswith(stream_reader.EVENT_START):
                reader.feed(chunk, time.monotonic())

        response = await self._send(
            '/v1/completions', {**request, 'streaming_callback': receive}
        )
        if isinstance(response, call_outcome.CallOutcome):
            return response
        if response.code != HTTPStatus.OK:
            return _refusal_outcome(response, bytes(received))
        return _verified(request_body, reader.end(time.monotonic()), response)

    async def call_service(
        self,
        service: str,
        path: str,
        body: bytes,
        *,
        key: str = '',
        request_id: str = '',
    ) -> call_outcome.CallOutcome:
        """Send a POST request to a plain service."""
        started = time.monotonic()
        request = {
            'method': 'POST',
            'body': body,
            'headers': self._headers(key, request_id),
        }
        response = await self._send(f'/v1/services/{service}/{path}', request)
        if isinstance(response, call_outcome.CallOutcome):
            return response
        if response.code != HTTPStatus.OK:
            return _refusal_outcome(response, response.body)
        return call_outcome.CallOutcome(
            outcome=call_outcome.Outcome.answered,
            address=_address(response),
            text=response.body.decode(),
            whole_s=time.monotonic() - started,
        )

    async def _send(
        self,
        path: str,
        request: dict[str, Any],
    ) -> httpclient.HTTPResponse | call_outcome.CallOutcome:
        try:
            addresses = await self.address_cache.read()
        except errors.Unavailable as error:
            return _failure(call_outcome.Outcome.unreachable, str(error))
        for address in addresses:
            try:
                return await self._fetch(f'http://{address}{path}', request)
            except (OSError, httpclient.HTTPError) as error:
                self.address_cache.invalidate()
                if _is_unsent(error):
                    continue
                return _failure(call_outcome.Outcome.interrupted, repr(error))
        return _failure(
            call_outcome.Outcome.unreachable,
            'could not connect to any address',
        )

    async def _fetch(
        self,
        url: str,
        request: dict[str, Any],
    ) -> httpclient.HTTPResponse:
        return await self._http.fetch(
            httpclient.HTTPRequest(
                url,
                connect_timeout=CONNECT_TIMEOUT_S,
                request_timeout=TIMEOUT_S,
                **request,
            ),
            raise_error=False,
        )

    def _headers(self, key: str, request_id: str) -> dict[str, str]:
        headers = {
            'Content-Type': rpc.JSON_TYPE,
            'X-Oatcrank-Profile': self._profile,
            'X-Request-Id': request_id or uuid.uuid4().hex,
        }
        if key:
            headers['Idempotency-Key'] = key
        return headers


def _is_unsent(error: OSError | httpclient.HTTPError) -> bool:
    if isinstance(error, ConnectionRefusedError):
        return True
    return 'while connecting' in str(error)


def _address(response: httpclient.HTTPResponse) -> str:
    return response.effective_url.split('/')[2]


def _failure(
    outcome: call_outcome.Outcome,
    problem: str,
) -> call_outcome.CallOutcome:
    return call_outcome.CallOutcome(outcome=outcome, problem=problem)


def _refusal_outcome(
    response: httpclient.HTTPResponse,
    body: bytes,
) -> call_outcome.CallOutcome:
    try:
        refused = msgspec.json.decode(body, type=refusal.Refusal)
    except msgspec.MsgspecError:
        return _failure(
            call_outcome.Outcome.wrong,
            f'status {response.code} without a typed refusal: {body!r}',
        )
    return call_outcome.CallOutcome(
        outcome=call_outcome.Outcome.refused,
        address=_address(response),
        problem=f'{refused.code.value}: {refused.message}',
        refused=refused,
    )


def _verified(
    request_body: completion_request.CompletionRequest,
    outcome: call_outcome.CallOutcome,
    response: httpclient.HTTPResponse,
) -> call_outcome.CallOutcome:
    outcome.address = _address(response)
    seed = answer_text.seed(
        request_body.model, request_body.adapter, request_body.text
    )
    expected_tokens = (
        answer_text.token(seed, index)
        for index in range(request_body.max_tokens)
    )
    is_match = outcome.text == ''.join(expected_tokens)
    if outcome.outcome is call_outcome.Outcome.answered and not is_match:
        outcome.outcome = call_outcome.Outcome.wrong
        outcome.problem = 'the answer belongs to another request'
    return outcome
