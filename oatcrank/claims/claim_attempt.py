"""Keep one attempt of this process."""

import asyncio
import enum

from oatcrank import ids, refusal
from oatcrank.claims import attempt_reply, claim


class Phase(enum.Enum):
    """Say how far an attempt has come."""

    opening = 'opening'
    held = 'held'
    dispatched = 'dispatched'
    over = 'over'


class ClaimAttempt:
    """Hold an attempt until its end is in the log or it is withdrawn."""

    def __init__(
        self,
        entry: claim.Claim,
        *,
        request_id: ids.RequestId,
        begun_at: float,
    ) -> None:
        """Start before the claim is committed."""
        self.entry = entry
        self.request_id = request_id
        self.begun_at = begun_at
        self.phase = Phase.opening
        loop = asyncio.get_running_loop()
        self.opened: asyncio.Future[refusal.Refusal | None] = (
            loop.create_future()
        )
        self.end: asyncio.Future[attempt_reply.AttemptReply] = (
            loop.create_future()
        )

    def settle(self, refused: refusal.Refusal | None = None) -> None:
        """Tell local resends that the opening is over, once."""
        if not self.opened.done():
            self.opened.set_result(refused)

    def finish(self, reply: attempt_reply.AttemptReply) -> None:
        """Tell everyone who waits how the attempt ended, once."""
        self.phase = Phase.over
        if not self.end.done():
            self.end.set_result(reply)

    async def wait(self, wait_s: float) -> attempt_reply.AttemptReply:
        """Return the end, or that it still runs when time is up."""
        await asyncio.wait([self.end], timeout=wait_s)
        if self.end.done():
            return self.end.result()
        return attempt_reply.AttemptReply(
            state=attempt_reply.AttemptState.running,
        )
