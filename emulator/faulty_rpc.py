"""Inject faults into calls between instances."""

import asyncio

from oatcrank import errors, rpc


class FaultyRpc(rpc.Rpc):
    """Client whose attributes inject faults.

    resumed: calls wait while this is not set, like in a paused process.
    lose_requests: this many next calls never arrive.
    lose_answers: this many next calls arrive but lose their answers.
    repeat: this many next calls arrive twice.
    """

    def __init__(self) -> None:
        """Create a client without faults."""
        super().__init__()
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.lose_requests = 0
        self.lose_answers = 0
        self.repeat = 0

    async def fetch(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        *,
        timeout_s: float,
    ) -> bytes:
        """Send an encoded body with the faults and return the raw answer."""
        await self.resumed.wait()
        if self.lose_requests:
            self.lose_requests -= 1
            raise errors.UnknownOutcome(f'{path}: the request was lost')
        if self.repeat:
            self.repeat -= 1
            await self.deliver(address, method, path, body, timeout_s)
        answer = await self.deliver(address, method, path, body, timeout_s)
        await self.resumed.wait()
        if self.lose_answers:
            self.lose_answers -= 1
            raise errors.UnknownOutcome(f'{path}: the answer was lost')
        return answer

    async def deliver(
        self,
        address: str,
        method: str,
        path: str,
        body: bytes | None,
        timeout_s: float,
    ) -> bytes:
        """Send without faults."""
        return await rpc.Rpc.fetch(
            self,
            address,
            method,
            path,
            body,
            timeout_s=timeout_s,
        )
