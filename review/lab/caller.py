"""Stand-in for clients."""

import asyncio
import dataclasses
import itertools
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
