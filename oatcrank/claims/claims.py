"""Claim keys so that each at-most-once request runs at most once."""

from oatcrank import clock, ids, metrics, refusal, rpc
from oatcrank.claims import (
    acquired_claim,
    attempt_reply,
    claim,
    claim_acquirer,
    claim_attempt,
    claim_attempts,
    claim_holder,
    claim_recorder,
    claim_refusals,
    claim_router,
    claimed_answer,
    existing_claim,
)
from oatcrank.membership import members
from oatcrank.settings import claims_settings
from oatcrank.store import keyvalue

# A claim older than this part of the retention is not dispatched any more:
# once it is dropped, another attempt can claim the key.
MAX_DISPATCH_AGE_DIVISOR = 4
# An encoded record must fit into one value of the key-value service.
MAX_RECORDED_ANSWER_BYTES = 262_144
MS_PER_S = 1000

Phase = claim_attempt.Phase
State = attempt_reply.AttemptState


class Claims:
    """Claim a key durably before its request may be dispatched."""

    def __init__(
        self,
        *,
        store: keyvalue.KeyValue,
        members: members.Members,
        client: rpc.Rpc,
        settings: claims_settings.ClaimsSettings,
        clock: clock.Clock,
        metrics: metrics.Metrics,
    ) -> None:
        """Set up; logs are loaded on the first claim."""
        self.attempts = claim_attempts.ClaimAttempts(client)
        self.router = claim_router.ClaimRouter(
            store=store,
            members=members,
            client=client,
            settings=settings,
            clock=clock,
        )
        self._acquirer = claim_acquirer.ClaimAcquirer(
            attempts=self.attempts,
            router=self.router,
        )
        self._recorder = claim_recorder.ClaimRecorder(
            attempts=self.attempts,
            router=self.router,
        )
        self._store = store
        self._members = members
        self._settings = settings
        self._clock = clock
        self._metrics = metrics

    async def acquire(
        self,
        *,
        key: str,
        profile: ids.ProfileName,
        fingerprint: int,
        request_id: ids.RequestId,
    ) -> acquired_claim.AcquiredClaim | existing_claim.ExistingClaim:
        """Claim a key, or return the existing claim that holds it.

        Raises refusal.Refused; the request then did not run.
        """
        digest = claim.digest_of(profile, key)
        local = await self.attempts.find_decided(digest, request_id)
        if local is not None:
            holder = claim_holder.running_holder(local.entry)
            existing = self._existing_claim(holder, digest, request_id)
        else:
            attempt = self._new_attempt(digest, fingerprint, request_id)
            holder, reply = await self._acquire(attempt)
            if holder.is_attempt(attempt.entry.attempt):
                return acquired_claim.AcquiredClaim(attempt)
            existing = self._existing_claim(holder, digest, request_id, reply)
        if holder.fingerprint != fingerprint:
            raise claim_refusals.key_reused(request_id)
        self._metrics.count('claims.known')
        return existing

    def may_dispatch(self, attempt: claim_attempt.ClaimAttempt) -> bool:
        """Return whether the request may be sent now; if so, mark it as sent.

        The caller must not await between this call and the send.
        """
        age_s = self._clock.now() - attempt.started_at
        if age_s > self._settings.retention_s / MAX_DISPATCH_AGE_DIVISOR:
            return False
        if attempt.phase is not Phase.held:
            return False
        attempt.phase = Phase.dispatched
        return True

    def allow_redispatch(self, attempt: claim_attempt.ClaimAttempt) -> None:
        """Allow another dispatch after one that certainly did not run."""
        if attempt.phase is Phase.dispatched:
            attempt.phase = Phase.held

    async def end(
        self,
        attempt: claim_attempt.ClaimAttempt,
        answer: claimed_answer.ClaimedAnswer,
    ) -> None:
        """Hand the answer to all waiters and record it in the background."""
        limit = min(self._settings.kept_answer_bytes, MAX_RECORDED_ANSWER_BYTES)
        is_recorded = len(answer.body) <= limit
        reply = attempt_reply.AttemptReply(state=State.ended, answer=answer)
        attempt.finish(reply)
        entry = claim.Ended(
            digest=attempt.entry.digest,
            attempt=attempt.entry.attempt,
            answer=answer if is_recorded else None,
        )
        self._recorder.record(attempt, entry)

    async def interrupt(self, attempt: claim_attempt.ClaimAttempt) -> None:
        """Record that the attempt was dispatched and may have run."""
        attempt.finish(attempt_reply.AttemptReply(state=State.interrupted))
        entry = claim.Ended(
            digest=attempt.entry.digest,
            attempt=attempt.entry.attempt,
            interrupted=True,
        )
        self._recorder.record(attempt, entry)

    async def release(self, attempt: claim_attempt.ClaimAttempt) -> None:
        """Withdraw an attempt that did not run; it can no longer run."""
        self._withdraw(attempt)
        entry = claim.Released(
            digest=attempt.entry.digest,
            attempt=attempt.entry.attempt,
        )
        self._recorder.record(attempt, entry)

    async def drain(self) -> None:
        """Wait until all ends are recorded, for a planned stop."""
        await self._recorder.drain()

    async def close(self) -> None:
        """Stop recording; ends that are not recorded are lost."""
        await self._recorder.close()
        await self.router.close()

    async def _acquire(
        self,
        attempt: claim_attempt.ClaimAttempt,
    ) -> tuple[claim_holder.ClaimHolder, attempt_reply.AttemptReply]:
        refused = None
        try:
            holder, reply = await self._acquirer.acquire(attempt)
            if holder.is_attempt(attempt.entry.attempt):
                attempt.phase = Phase.held
                self._record_metrics(attempt)
            return holder, reply
        except refusal.Refused as error:
            refused = error.refusal
            self._metrics.count('claims.refused')
            raise
        finally:
            # An attempt without its claim must never be dispatched.
            if attempt.phase is not Phase.held:
                self._withdraw(attempt)
            attempt.report_claim(refused)

    def _record_metrics(self, attempt: claim_attempt.ClaimAttempt) -> None:
        elapsed_s = self._clock.now() - attempt.started_at
        self._metrics.count('claims.begun')
        self._metrics.timing('claims.begin', elapsed_s * MS_PER_S)

    def _new_attempt(
        self,
        digest: str,
        fingerprint: int,
        request_id: ids.RequestId,
    ) -> claim_attempt.ClaimAttempt:
        own = self._members.own
        attempt = claim_attempt.ClaimAttempt(
            claim.Claim(
                digest=digest,
                attempt=self.attempts.next_id(),
                instance_id=own.instance_id,
                incarnation=own.incarnation,
                address=own.address,
                fingerprint=fingerprint,
            ),
            request_id=request_id,
            started_at=self._clock.now(),
        )
        self.attempts.register(attempt)
        return attempt

    def _withdraw(self, attempt: claim_attempt.ClaimAttempt) -> None:
        attempt.finish(claim_attempts.ABSENT)
        self.attempts.unregister(attempt)

    def _existing_claim(
        self,
        holder: claim_holder.ClaimHolder,
        digest: str,
        request_id: ids.RequestId,
        reply: attempt_reply.AttemptReply = existing_claim.RUNNING,
    ) -> existing_claim.ExistingClaim:
        return existing_claim.ExistingClaim(
            digest=digest,
            holder=holder,
            reply=reply,
            request_id=request_id,
            attempts=self.attempts,
            router=self.router,
            store=self._store,
        )
