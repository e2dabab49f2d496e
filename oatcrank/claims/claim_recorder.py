"""Record the ends of attempts in the log, retrying until it succeeds."""

import asyncio

from oatcrank import errors, logs
from oatcrank.claims import claim, claim_attempt, claim_attempts, claim_router

INITIAL_BACKOFF_S = 0.2
MAX_BACKOFF_S = 5.0
BACKOFF_FACTOR = 2


class ClaimRecorder:
    """Record each end in a task of its own, then unregister the attempt."""

    def __init__(
        self,
        *,
        attempts: claim_attempts.ClaimAttempts,
        router: claim_router.ClaimRouter,
    ) -> None:
        """Start with nothing to record."""
        self._attempts = attempts
        self._router = router
        self._tasks: set[asyncio.Task[None]] = set()

    def record(
        self,
        attempt: claim_attempt.ClaimAttempt,
        entry: claim.Entry,
    ) -> None:
        """Record the entry in the background."""
        task = asyncio.create_task(self._record(attempt, entry))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def drain(self) -> None:
        """Wait until all entries are recorded."""
        while self._tasks:
            await asyncio.wait(tuple(self._tasks))

    async def close(self) -> None:
        """Cancel all tasks; entries that are not recorded are lost."""
        for task in tuple(self._tasks):
            task.cancel()
        await self.drain()

    async def _record(
        self,
        attempt: claim_attempt.ClaimAttempt,
        entry: claim.Entry,
    ) -> None:
        backoff_s = INITIAL_BACKOFF_S
        while True:
            try:
                await self._router.submit(entry)
            except errors.PlatformError as error:
                logs.event(
                    'claim_end_retry',
                    request_id=attempt.request_id,
                    error=str(error),
                )
                await asyncio.sleep(backoff_s)
                backoff_s = min(backoff_s * BACKOFF_FACTOR, MAX_BACKOFF_S)
            else:
                break
        # The claimant must know the attempt until the log holds its end.
        self._attempts.unregister(attempt)
