"""State of one attempt that this process makes."""

import asyncio
import enum

from oatcrank import ids, refusal
from oatcrank.claims import attempt_reply, claim


class Phase(enum.Enum):
    """Define the phases of an attempt."""

    acquiring = 'acquiring'
    held = 'held'
    dispatched = 'dispatched'
    ended = 'ended'


class ClaimAttempt:
    """Track an attempt until its end is in the log or it is withdrawn."""

    def __init__(
        self,
        entry: claim.Claim,
        *,
        request_id: ids.RequestId,
        started_at: float,
    ) -> None:
        """Create the attempt before its claim is committed."""
        self.entry = entry
        self.request_id = request_id
        self.started_at = started_at
        self.phase = Phase.acquiring
        loop = asyncio.get_running_loop()
        self.claim_decided: asyncio.Future[refusal.Refusal | None] = (
            loop.create_future()
        )
        self.end: asyncio.Future[attempt_reply.AttemptReply] = (
            loop.create_future()
        )

    def report_claim(self, refused: refusal.Refusal | None = None) -> None:
        """Wake local resends that wait for the claim; idempotent."""
        if not self.claim_decided.done():
            self.claim_decided.set_result(refused)

    def finish(self, reply: attempt_reply.AttemptReply) -> None:
        """Report the end of the attempt to all waiters; idempotent."""
        self.phase = Phase.ended
        if not self.end.done():
            self.end.set_result(reply)

    async def wait(self, wait_s: float) -> attempt_reply.AttemptReply:
        """Return the end, or a reply in state running after wait_s."""
        await asyncio.wait([self.end], timeout=wait_s)
        if self.end.done():
            return self.end.result()
        return attempt_reply.AttemptReply(
            state=attempt_reply.AttemptState.running,
        )
