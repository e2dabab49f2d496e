"""Send a trace's requests as a caller does."""

import enum
import random
import uuid
from http import HTTPStatus

import msgspec
from tornado import httpclient, simple_httpclient

from emulator.replaying import _replay_stream, trace_event
from oatcrank import clock, errors, ids, refusal, rpc

ANSWER_LIMIT_S = 120.0
DIRECTORY_TIMEOUT_S = 2.0
DIRECTORY_TRIES = 3
MAX_CLIENTS = 2000


class End(enum.Enum):
    """Say how a replayed request ended."""

    answered = 'answered'
    not_run = 'not_run'
    may_have_run = 'may_have_run'
    broken = 'broken'


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a replayed request's end; times are seconds since it was sent."""

    arrival: trace_event.Arrival
    end: End
    token_times: tuple[float, ...] = ()
    whole_s: float = 0
    code: str = ''
    fault: str = ''


class Directory(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the answer to which addresses a profile's callers use."""

    addresses: tuple[str, ...]
    keep_s: float = 1


class Body(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Hold the body of a completion."""

    model: ids.ModelName
    prompt: str
    max_tokens: int
    stream: bool
    adapter: ids.AdapterName = ids.AdapterName('')
    prefix_id: str = ''


class ReplayCaller:
    """Ask for addresses, keep them for a while and send requests."""

    def __init__(self, first_address: str) -> None:
        """Ask the instance at first_address, an `ip:port`, to begin with."""
        self._first_address = first_address
        self._clock = clock.MonotonicClock()
        self._rpc = rpc.Rpc()
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
        )
        self._dice = random.Random(0)
        self._run_id = uuid.uuid4().hex
        self._known: dict[ids.ProfileName, tuple[float, Directory]] = {}

    def close(self) -> None:
        """Close every connection."""
        self._rpc.close()
        self._client.close()

    async def send(
        self,
        arrival: trace_event.Arrival,
        number: int,
    ) -> Result:
        """Send a request and wait for its end; raises nothing."""
        sent_s = self._clock.now()
        stream = _replay_stream.ReplayStream()
        try:
            address = await self._address(arrival.profile)
            answer = await self._client.fetch(
                httpclient.HTTPRequest(
                    f'http://{address}/v1/completions',
                    method='POST',
                    headers=_headers(arrival, f'{self._run_id}-{number}'),
                    body=msgspec.json.encode(_body(arrival)),
                    request_timeout=ANSWER_LIMIT_S,
                    streaming_callback=lambda chunk: stream.add(
                        chunk,
                        self._clock.now() - sent_s,
                    ),
                ),
                raise_error=False,
            )
        except (errors.OatcrankError, OSError, httpclient.HTTPError) as error:
            return Result(arrival=arrival, end=End.broken, fault=repr(error))
        return _result(
            arrival,
            answer.code,
            stream,
            self._clock.now() - sent_s,
        )

    async def _address(self, profile: ids.ProfileName) -> str:
        until_s, directory = self._known.get(profile, (0, None))
        if directory is None or self._clock.now() >= until_s:
            directory = await self._ask(profile, directory)
            kept_until_s = self._clock.now() + directory.keep_s
            self._known[profile] = (kept_until_s, directory)
        return self._dice.choice(directory.addresses)

    async def _ask(
        self,
        profile: ids.ProfileName,
        last: Directory | None,
    ) -> Directory:
        addresses = last.addresses if last else ()
        failed: errors.OatcrankError | None = None
        for address in (self._first_address, *addresses)[:DIRECTORY_TRIES]:
            try:
                return await self._rpc.get(
                    address,
                    f'/v1/addresses?profile={profile}',
                    Directory,
                    timeout_s=DIRECTORY_TIMEOUT_S,
                )
            except errors.OatcrankError as error:
                failed = error
        raise errors.Unavailable(f'no address for {profile}: {failed}')


def _headers(arrival: trace_event.Arrival, key: str) -> dict[str, str]:
    headers = {
        'Content-Type': rpc.JSON_TYPE,
        'X-Oatcrank-Profile': arrival.profile,
    }
    if not arrival.repeatable:
        headers['Idempotency-Key'] = key
    return headers


def _body(arrival: trace_event.Arrival) -> Body:
    words = [arrival.prefix or 'prompt']
    words.extend('word' for _ in range(arrival.prompt - 1))
    return Body(
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
) -> Result:
    if status != HTTPStatus.OK:
        return _refused(arrival, status, stream.head)
    fault = stream.fault(arrival.answer)
    return Result(
        arrival=arrival,
        end=End.broken if fault else End.answered,
        token_times=tuple(stream.times),
        whole_s=whole_s,
        fault=fault,
    )


def _refused(
    arrival: trace_event.Arrival,
    status: int,
    body: bytes,
) -> Result:
    try:
        told = msgspec.json.decode(body, type=refusal.Refusal)
    except msgspec.MsgspecError as error:
        return Result(
            arrival=arrival,
            end=End.broken,
            fault=f'status {status}: {error}',
        )
    not_run = told.run_state is refusal.RunState.did_not_run
    return Result(
        arrival=arrival,
        end=End.not_run if not_run else End.may_have_run,
        code=told.code.value,
    )
