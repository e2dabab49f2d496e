"""Stand-ins for clients."""

import asyncio
import dataclasses
import itertools
import json
import random
import time
from collections.abc import Callable

from lab import system, wire

HOST = 'ficu95.example'
MAX_TRIES = 2


@dataclasses.dataclass
class Attempt:
    """One client attempt and what came back."""

    request_id: str
    sent_s: float
    status: int = 0
    body: bytes = b''
    whole: bool = False
    retry_after_s: float = 0
    address: str = ''
    ended_s: float = 0


class Caller:
    """Send requests to random ready instances, each on a new connection."""

    def __init__(
        self,
        instances: list[system.Instance],
        log: Callable[..., None],
        seed: int = 1,
    ) -> None:
        """Send to the given instances."""
        self.attempts: list[Attempt] = []
        self._instances = instances
        self._log = log
        self._rng = random.Random(seed)
        self._numbers = itertools.count(1)
        self._prefix = f'{self._rng.getrandbits(32):08x}'

    async def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        deadline_s: float,
        body: bytes = b'',
    ) -> Attempt:
        """Send a request; after a 429 or 503 once more, with a new id."""
        ends_s = time.monotonic() + deadline_s
        for _ in range(MAX_TRIES):
            left_s = ends_s - time.monotonic()
            attempt = await self._try(method, target, headers, left_s, body)
            pause_s = max(0.05, attempt.retry_after_s)
            if attempt.status not in {429, 503} or pause_s > left_s / 3:
                break
            await asyncio.sleep(pause_s)
        return attempt

    async def _try(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        left_s: float,
        body: bytes,
    ) -> Attempt:
        request_id = f'{self._prefix}{next(self._numbers):08x}'
        attempt = Attempt(request_id, time.monotonic())
        self.attempts.append(attempt)
        instance = self._rng.choice(self._instances)
        self._log('sent', request=request_id, instance=instance.name)
        try:
            async with asyncio.timeout(left_s):
                answer = await system.call(
                    method,
                    instance.front,
                    target,
                    {
                        'Host': HOST,
                        'X-Request-Id': request_id,
                        'X-Deadline-Ms': str(int(left_s * 1000)),
                        **headers,
                    },
                    body,
                )
        except (OSError, TimeoutError):
            answer = None
        _apply(attempt, answer)
        self._log(
            'answered',
            request=request_id,
            status=attempt.status,
            whole=attempt.whole,
            ms=round((time.monotonic() - attempt.sent_s) * 1000),
        )
        return attempt


class KeepAliveCaller:
    """Send one request after the other on a connection that is kept open.

    It asks the instances for addresses, keeps their answer for the time that it
    names or for a multiple of it, and leaves a connection whose address is
    missing from a newer answer.
    """

    def __init__(
        self,
        name: str,
        instances: list[system.Instance],
        log: Callable[..., None],
        *,
        ttl_factor: int,
        seed: int,
    ) -> None:
        """Keep answers for ttl_factor times as long as they say."""
        self.attempts: list[Attempt] = []
        self._name = name
        self._instances = instances
        self._log = log
        self._ttl_factor = ttl_factor
        self._rng = random.Random(seed)
        self._addresses: list[str] = []
        self._resolve_at_s = 0.0
        self._address = ''
        self._connection: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def run(
        self,
        target: str,
        headers: dict[str, str],
        deadline_s: float,
        ends_s: float,
    ) -> None:
        """Send requests until a monotonic time."""
        while time.monotonic() < ends_s:
            await self._resolve()
            attempt = await self._send(target, headers, deadline_s)
            if attempt.status != 200:
                await asyncio.sleep(max(0.1, attempt.retry_after_s))
        self._close()

    async def _resolve(self) -> None:
        now_s = time.monotonic()
        if now_s < self._resolve_at_s:
            return
        for instance in self._rng.sample(
            self._instances, min(3, len(self._instances))
        ):
            try:
                async with asyncio.timeout(1.0):
                    answer = await system.call(
                        'GET',
                        instance.directory,
                        f'/resolve?name={HOST}&region={system.REGION}'
                        f'&zone={instance.zone}',
                    )
            except (OSError, TimeoutError):
                continue
            if answer is None or answer.status != 200:
                continue
            resolved = json.loads(answer.body)
            self._addresses = resolved['addresses']
            ttl_s = min(system.BOUNDS['ttl_max_s'], resolved['ttl_s'])
            self._resolve_at_s = now_s + ttl_s * self._ttl_factor
            if self._address not in self._addresses:
                self._close()
            return

    async def _send(
        self, target: str, headers: dict[str, str], deadline_s: float
    ) -> Attempt:
        number = len(self.attempts)
        attempt = Attempt(f'{self._name}-{number:04d}', time.monotonic())
        self.attempts.append(attempt)
        try:
            async with asyncio.timeout(deadline_s):
                answer = await self._exchange(
                    attempt,
                    wire.encode_request(
                        'POST',
                        target,
                        {
                            'Host': HOST,
                            'X-Request-Id': attempt.request_id,
                            'X-Deadline-Ms': str(int(deadline_s * 1000)),
                            **headers,
                        },
                        b'{}',
                    ),
                )
        except (OSError, TimeoutError):
            answer = None
        attempt.ended_s = time.monotonic()
        _apply(attempt, answer)
        self._log(
            'answered',
            request=attempt.request_id,
            status=attempt.status,
            whole=attempt.whole,
            ms=round((attempt.ended_s - attempt.sent_s) * 1000),
        )
        if (
            not attempt.whole
            or answer is None
            or answer.headers.get('connection') == 'close'
        ):
            self._close()
        return attempt

    async def _exchange(
        self, attempt: Attempt, encoded: bytes
    ) -> wire.Message | None:
        if self._connection is None:
            self._address = self._rng.choice(self._addresses)
            host, _, port = self._address.rpartition(':')
            self._connection = await asyncio.wait_for(
                asyncio.open_connection(host, int(port)), 1.0
            )
        attempt.address = self._address
        reader, writer = self._connection
        attempt.sent_s = time.monotonic()
        self._log('sent', request=attempt.request_id, to=self._address)
        writer.write(encoded)
        return await wire.read_response(reader)

    def _close(self) -> None:
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None


def _apply(attempt: Attempt, answer: wire.Message | None) -> None:
    if answer is None:
        return
    attempt.status = answer.status
    attempt.body = answer.body
    attempt.whole = answer.whole
    attempt.retry_after_s = float(answer.headers.get('retry-after', '0'))


def stream_headers(model: str) -> dict[str, str]:
    """Return the headers of a request for a model."""
    return {
        'X-Model': model,
        'X-Token-Usage': '300,40',
        'X-Prompt-Prefix': '5c1e07a2:200,91bd3f06:100',
    }
