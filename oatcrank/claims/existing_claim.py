"""Answer of a key that another attempt holds."""

import asyncio

from oatcrank import decoding, errors, ids
from oatcrank.claims import (
    attempt_reply,
    claim,
    claim_acquirer,
    claim_attempts,
    claim_holder,
    claim_record,
    claim_refusals,
    claim_router,
    claimed_answer,
)
from oatcrank.configuration import append_log
from oatcrank.store import keyvalue

LOOK_UP_TIMEOUT_S = 5.0

State = attempt_reply.AttemptState
RUNNING = claim_acquirer.RUNNING


class ExistingClaim:
    """Wait for the attempt that holds the key, or read its recorded end."""

    def __init__(
        self,
        *,
        digest: str,
        holder: claim_holder.ClaimHolder,
        reply: attempt_reply.AttemptReply,
        request_id: ids.RequestId,
        attempts: claim_attempts.ClaimAttempts,
        router: claim_router.ClaimRouter,
        store: keyvalue.KeyValue,
    ) -> None:
        """Start from the holder in the log and its claimant's reply."""
        self.holder = holder
        self._reply = reply
        self._digest = digest
        self._request_id = request_id
        self._attempts = attempts
        self._router = router
        self._store = store

    async def answer(self) -> claimed_answer.ClaimedAnswer:
        """Return the recorded answer, or raise refusal.Refused."""
        entry = self.holder.running
        if entry is None:
            return await self._recorded_answer(self.holder)
        reply = self._reply
        while reply.state is State.running:
            reply = await self._attempts.ask(entry)
        if reply.state is State.ended and reply.answer is not None:
            return reply.answer
        if reply.state is State.interrupted:
            raise claim_refusals.outcome_unknown(self._request_id)
        return await self._answer_from_log(entry, reply)

    async def _answer_from_log(
        self,
        entry: claim.Claim,
        reply: attempt_reply.AttemptReply,
    ) -> claimed_answer.ClaimedAnswer:
        """Return the answer from the log if the claimant has none."""
        try:
            async with asyncio.timeout(LOOK_UP_TIMEOUT_S):
                holder = await self._router.submit(
                    claim.LookUp(digest=self._digest),
                )
        except (errors.PlatformError, TimeoutError) as error:
            raise claim_refusals.outcome_unknown(self._request_id) from error
        if holder is None:
            raise claim_refusals.withdrawn(self._request_id)
        if holder.is_attempt(entry.attempt):
            if reply.state is State.absent:
                raise claim_refusals.withdrawn(self._request_id)
            raise claim_refusals.outcome_unknown(self._request_id)
        # The attempt was released and another one holds the key now.
        self.holder = holder
        self._reply = RUNNING
        return await self.answer()

    async def _recorded_answer(
        self,
        holder: claim_holder.ClaimHolder,
    ) -> claimed_answer.ClaimedAnswer:
        if holder.interrupted:
            raise claim_refusals.outcome_unknown(self._request_id)
        try:
            shard = await self._router.shard_number(self._digest)
            prefix = self._router.prefix(shard)
            log = append_log.AppendLog(self._store, prefix)
            text = await log.read(holder.ended_in)
        except errors.PlatformError as error:
            raise claim_refusals.answer_not_kept(
                self._request_id,
                claim_refusals.RETRY_AFTER_S,
            ) from error
        answer = None if text is None else _find_answer(text, self._digest)
        if answer is None:
            raise claim_refusals.answer_not_kept(self._request_id)
        return answer


def _find_answer(text: str, digest: str) -> claimed_answer.ClaimedAnswer | None:
    record = decoding.from_json(text, expected=claim_record.ClaimRecord)
    for entry in record.entries:
        if isinstance(entry, claim.Ended) and entry.digest == digest:
            return entry.answer
    return None
