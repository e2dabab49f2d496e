"""Send a trace's requests the way callers do."""

import enum
import random
import uuid
from http import HTTPStatus

import msgspec
from tornado import httpclient, simple_httpclient

from emulator.replaying import _replay_stream, trace_event
from oatcrank import clock, errors, ids, refusal, rpc

ANSWER_TIMEOUT_S = 120.0
ADDRESS_TIMEOUT_S = 2.0
MAX_ADDRESS_ATTEMPTS = 3
MAX_CLIENTS = 2000


class ActualOutcome(enum.Enum):
    """Outcome of a replayed request."""

    answered = 'answered'
    not_run = 'not_run'
    may_have_run = 'may_have_run'
    broken = 'broken'


class RequestResult(msgspec.Struct, frozen=True, kw_only=True):
    """Result of a replayed request; times are seconds since it was sent."""

    arrival: trace_event.Arrival
    outcome: ActualOutcome
    token_times: tuple[float, ...] = ()
    whole_s: float = 0
    code: str = ''
    error_text: str = ''


class ProfileAddresses(msgspec.Struct, frozen=True, kw_only=True):
    """Answer that names the addresses for callers of a profile."""

    addresses: tuple[str, ...]
    keep_s: float = 1


class CompletionBody(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True
):
    """Body of a completion request."""

    model: ids.ModelName
    prompt: str
    max_tokens: int
    stream: bool
    adapter: ids.AdapterName = ids.AdapterName('')
    prefix_id: str = ''


class ReplayCaller:
    """Look up addresses, cache them and send requests."""

    def __init__(self, first_address: str) -> None:
        """Look up addresses at first_address, an `ip:port`, first."""
        self._first_address = first_address
        self._clock = clock.MonotonicClock()
        self._rpc = rpc.Rpc()
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
        )
        self._rng = random.Random(0)
        self._run_id = uuid.uuid4().hex
        self._cached_by_profile: dict[
            ids.ProfileName, tuple[float, ProfileAddresses]
        ] = {}

    def close(self) -> None:
        """Close all connections."""
        self._rpc.close()
        self._client.close()

    async def send(
        self,
        arrival: trace_event.Arrival,
        number: int,
    ) -> RequestResult:
        """Send a request and return its result; errors are part of it."""
        sent_s = self._clock.now()
        stream = _replay_stream.ReplayStream()
        try:
            address = await self._address(arrival.profile)
            answer = await self._client.fetch(
                httpclient.HTTPRequest(
                    f'http://{address}/v1/completions',
                    method='POST',
                    headers=_headers(arrival, f'{self._run_id}-{number}'),
                    body=msgspec.json.encode(_completion_body(arrival)),
                    request_timeout=ANSWER_TIMEOUT_S,
                    streaming_callback=lambda chunk: stream.add(
                        chunk,
                        self._clock.now() - sent_s,
                    ),
                ),
                raise_error=False,
            )
        except (errors.OatcrankError, OSError, httpclient.HTTPError) as error:
            return RequestResult(
                arrival=arrival,
                outcome=ActualOutcome.broken,
                error_text=repr(error),
            )
        return _result(
            arrival,
            answer.code,
            stream,
            self._clock.now() - sent_s,
        )

    async def _address(self, profile: ids.ProfileName) -> str:
        expires_s, cached = self._cached_by_profile.get(profile, (0, None))
        if cached is None or self._clock.now() >= expires_s:
            cached = await self._fetch_addresses(profile, cached)
            new_expiry_s = self._clock.now() + cached.keep_s
            self._cached_by_profile[profile] = (new_expiry_s, cached)
        return self._rng.choice(cached.addresses)

    async def _fetch_addresses(
        self,
        profile: ids.ProfileName,
        cached: ProfileAddresses | None,
    ) -> ProfileAddresses:
        addresses = cached.addresses if cached else ()
        last_error: errors.OatcrankError | None = None
        for address in (self._first_address, *addresses)[:MAX_ADDRESS_ATTEMPTS]:
            try:
                return await self._rpc.get(
                    address,
                    f'/v1/addresses?profile={profile}',
                    ProfileAddresses,
                    timeout_s=ADDRESS_TIMEOUT_S,
                )
            except errors.OatcrankError as error:
                last_error = error
        raise errors.Unavailable(f'no address for {profile}: {last_error}')


def _headers(arrival: trace_event.Arrival, key: str) -> dict[str, str]:
    headers = {
        'Content-Type': rpc.JSON_TYPE,
        'X-Oatcrank-Profile': arrival.profile,
    }
    if not arrival.repeatable:
        headers['Idempotency-Key'] = key
    return headers


def _completion_body(arrival: trace_event.Arrival) -> CompletionBody:
    words = [arrival.prefix or 'prompt']
    words.extend('word' for _ in range(arrival.prompt - 1))
    return CompletionBody(
        model=arrival.model,
        prompt=' '.join(words),
        max_tokens=arrival.answer,
        stream=True,
        adapter=arrival.adapter,
        prefix_id=arrival.prefix,
    )


def _result(
    arrival: trace_event.Arrival,
    status: int,
    stream: _replay_stream.ReplayStream,
    whole_s: float,
) -> RequestResult:
    if status != HTTPStatus.OK:
        return _refused(arrival, status, stream.head)
    error_text = stream.find_error(arrival.answer)
    return RequestResult(
        arrival=arrival,
        outcome=ActualOutcome.broken if error_text else ActualOutcome.answered,
        token_times=tuple(stream.times),
        whole_s=whole_s,
        error_text=error_text,
    )


def _refused(
    arrival: trace_event.Arrival,
    status: int,
    body: bytes,
) -> RequestResult:
    try:
        decoded = msgspec.json.decode(body, type=refusal.Refusal)
    except msgspec.MsgspecError as error:
        return RequestResult(
            arrival=arrival,
            outcome=ActualOutcome.broken,
            error_text=f'status {status}: {error}',
        )
    not_run = decoded.run_state is refusal.RunState.did_not_run
    return RequestResult(
        arrival=arrival,
        outcome=ActualOutcome.not_run
        if not_run
        else ActualOutcome.may_have_run,
        code=decoded.code.value,
    )
