"""Run a request at most once under a durable claim."""

import asyncio

from oatcrank import refusal
from oatcrank.claims import (
    claim_attempt,
    claimed_answer,
    claims,
    existing_claim,
    permit,
    recording_response_writer,
)
from oatcrank.entry import dispatch_request, dispatcher, response_writer


class AtMostOnceRunner:
    """Claim, dispatch and record; resends get the answer of the first run."""

    def __init__(self, claims: claims.Claims) -> None:
        """Claim keys through claims."""
        self._claims = claims
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(
        self,
        request: dispatch_request.DispatchRequest,
        key: str,
        dispatcher: dispatcher.Dispatcher,
        writer: response_writer.ResponseWriter,
    ) -> None:
        """Answer the request or raise refusal.Refused.

        The request goes on if the caller disconnects, so that a resend can
        get its answer.
        """
        claimed = await self._claims.acquire(
            key=key,
            profile=request.profile.name,
            fingerprint=request.fingerprint,
            request_id=request.request_id,
        )
        if isinstance(claimed, existing_claim.ExistingClaim):
            await _write_answer(await claimed.answer(), writer)
            return
        request.permit = ClaimPermit(self._claims, claimed.attempt)
        task = asyncio.create_task(
            self._run_claimed(request, claimed.attempt, dispatcher, writer),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.shield(task)

    async def drain(self) -> None:
        """Wait until all running requests have their end recorded."""
        while self._tasks:
            await asyncio.wait(self._tasks)
        await self._claims.drain()

    async def close(self) -> None:
        """Stop recording; ends that are not recorded are lost."""
        await self._claims.close()

    async def _run_claimed(
        self,
        request: dispatch_request.DispatchRequest,
        attempt: claim_attempt.ClaimAttempt,
        dispatcher: dispatcher.Dispatcher,
        writer: response_writer.ResponseWriter,
    ) -> None:
        recorder = recording_response_writer.RecordingResponseWriter(writer)
        try:
            await dispatcher.run(request, recorder)
        except refusal.Refused as refused:
            if refused.refusal.run_state is refusal.RunState.did_not_run:
                await self._claims.release(attempt)
            else:
                await self._claims.interrupt(attempt)
            raise
        except Exception:
            await self._claims.interrupt(attempt)
            raise
        await self._claims.end(
            attempt,
            claimed_answer.ClaimedAnswer(
                status=recorder.status,
                content_type=recorder.content_type,
                body=recorder.body,
            ),
        )


class ClaimPermit(permit.Permit):
    """Allow one attempt at a time under a claim."""

    def __init__(
        self,
        claims: claims.Claims,
        attempt: claim_attempt.ClaimAttempt,
    ) -> None:
        """Use the claim of the attempt."""
        self._claims = claims
        self._attempt = attempt

    def acquire(self) -> bool:
        """Return whether the attempt may be sent now."""
        return self._claims.may_dispatch(self._attempt)

    def release(self) -> None:
        """Release the permit after an attempt that certainly did not run."""
        self._claims.allow_redispatch(self._attempt)


async def _write_answer(
    answer: claimed_answer.ClaimedAnswer,
    writer: response_writer.ResponseWriter,
) -> None:
    writer.write_head(answer.status, answer.content_type)
    written = writer.write(answer.body)
    if written is not None:
        await written
