"""Track this process's attempts and query other processes about theirs."""

import asyncio
import itertools
import uuid

import msgspec

from oatcrank import errors, ids, logs, refusal, rpc
from oatcrank.claims import attempt_query, attempt_reply, claim, claim_attempt

PATH = '/internal/attempts'
QUERY_ATTEMPTS = 2
QUERY_WAIT_S = 2.0
QUERY_TIMEOUT_MARGIN_S = 1.0
SEPARATOR = ':'

ABSENT = attempt_reply.AttemptReply(state=attempt_reply.AttemptState.absent)
GONE = attempt_reply.AttemptReply(state=attempt_reply.AttemptState.gone)


class ClaimAttempts:
    """Registry of attempts by id.

    An attempt stays registered until its end is in the log or it is withdrawn,
    so an unregistered attempt of this process will never be dispatched.
    """

    def __init__(self, client: rpc.Rpc) -> None:
        """Start without attempts, under a unique process id."""
        self._client = client
        self._process = uuid.uuid4().hex
        self._counter = itertools.count(1)
        self._attempt_by_id: dict[str, claim_attempt.ClaimAttempt] = {}
        self._attempt_by_digest: dict[str, claim_attempt.ClaimAttempt] = {}

    def __len__(self) -> int:
        """Return the number of registered attempts."""
        return len(self._attempt_by_id)

    def next_id(self) -> str:
        """Return an id that is unique among the attempts of all processes."""
        return f'{self._process}{SEPARATOR}{next(self._counter)}'

    def register(self, attempt: claim_attempt.ClaimAttempt) -> None:
        """Register an attempt; call before its claim can reach the log."""
        self._attempt_by_id[attempt.entry.attempt] = attempt
        self._attempt_by_digest[attempt.entry.digest] = attempt

    def unregister(self, attempt: claim_attempt.ClaimAttempt) -> None:
        """Remove an attempt that is withdrawn or whose end is in the log."""
        entry = attempt.entry
        self._attempt_by_id.pop(entry.attempt, None)
        if self._attempt_by_digest.get(entry.digest) is attempt:
            self._attempt_by_digest.pop(entry.digest)

    def is_registered(self, attempt: claim_attempt.ClaimAttempt) -> bool:
        """Return whether the attempt is registered."""
        return attempt.entry.attempt in self._attempt_by_id

    async def find_decided(
        self,
        digest: str,
        request_id: ids.RequestId,
    ) -> claim_attempt.ClaimAttempt | None:
        """Return this process's attempt for a key, once its claim is decided.

        Raises refusal.Refused if the claim of that attempt was refused.
        """
        while True:
            attempt = self._attempt_by_digest.get(digest)
            if attempt is None:
                return None
            await asyncio.wait([attempt.claim_decided])
            refused = attempt.claim_decided.result()
            if refused is not None:
                raise refusal.Refused(
                    msgspec.structs.replace(refused, request_id=request_id),
                )
            if self._attempt_by_digest.get(digest) is attempt:
                return attempt

    async def reply(
        self,
        query: attempt_query.AttemptQuery,
    ) -> attempt_reply.AttemptReply:
        """Return the state of an attempt of this process."""
        if query.attempt.split(SEPARATOR)[0] != self._process:
            return GONE
        attempt = self._attempt_by_id.get(query.attempt)
        return ABSENT if attempt is None else await attempt.wait(query.wait_s)

    async def ask(
        self,
        entry: claim.Claim,
        *,
        wait_s: float = QUERY_WAIT_S,
    ) -> attempt_reply.AttemptReply:
        """Return the state of an attempt, as its own process reports it."""
        query = attempt_query.AttemptQuery(
            attempt=entry.attempt,
            wait_s=wait_s,
        )
        if entry.attempt.startswith(f'{self._process}{SEPARATOR}'):
            return await self.reply(query)
        for _ in range(QUERY_ATTEMPTS):
            try:
                return await self._ask_peer(entry.address, query)
            except (errors.Unavailable, rpc.RpcStatusError):
                return GONE
            except errors.UnknownOutcome as error:
                # The query is idempotent, so it is safe to retry.
                logs.event('claimant_timeout', error=str(error))
        return GONE

    async def _ask_peer(
        self,
        address: str,
        query: attempt_query.AttemptQuery,
    ) -> attempt_reply.AttemptReply:
        return await self._client.post(
            address,
            PATH,
            query,
            attempt_reply.AttemptReply,
            timeout_s=query.wait_s + QUERY_TIMEOUT_MARGIN_S,
        )
