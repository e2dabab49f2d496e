"""Acquire the claim of a new attempt."""

import asyncio

import msgspec

from oatcrank import errors
from oatcrank.claims import (
    attempt_reply,
    claim_attempt,
    claim_attempts,
    claim_holder,
    claim_refusals,
    claim_router,
)

ACQUIRE_TIMEOUT_S = 5.0
ACQUIRE_ATTEMPTS = 4

RUNNING = attempt_reply.AttemptReply(
    state=attempt_reply.AttemptState.running,
)


class ClaimAcquirer:
    """Claim a key for an attempt, replacing withdrawn attempts."""

    def __init__(
        self,
        *,
        attempts: claim_attempts.ClaimAttempts,
        router: claim_router.ClaimRouter,
    ) -> None:
        """Submit claims through the router; query claimants by attempts."""
        self._attempts = attempts
        self._router = router

    async def acquire(
        self,
        attempt: claim_attempt.ClaimAttempt,
    ) -> tuple[claim_holder.ClaimHolder, attempt_reply.AttemptReply]:
        """Return the holder of the key and the state of its attempt.

        Raises refusal.Refused if they cannot be determined in time.
        """
        try:
            async with asyncio.timeout(ACQUIRE_TIMEOUT_S):
                return await self._acquire(attempt)
        except (errors.PlatformError, TimeoutError) as error:
            raise claim_refusals.platform_unavailable(
                attempt.request_id,
                error,
            ) from error

    async def _acquire(
        self,
        attempt: claim_attempt.ClaimAttempt,
    ) -> tuple[claim_holder.ClaimHolder, attempt_reply.AttemptReply]:
        entry = attempt.entry
        for _ in range(ACQUIRE_ATTEMPTS):
            holder = await self._router.submit(entry)
            if holder is None:
                raise errors.Unavailable(
                    'the claim is older than the retention period'
                )
            if holder.running is None or holder.is_attempt(entry.attempt):
                return holder, RUNNING
            reply = await self._attempts.ask(holder.running, wait_s=0)
            if reply.state is not attempt_reply.AttemptState.absent:
                return holder, reply
            entry = msgspec.structs.replace(
                entry,
                replaces=holder.running.attempt,
            )
        raise errors.Unavailable('the holder of the key changed too often')
