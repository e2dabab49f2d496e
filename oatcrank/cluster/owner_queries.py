"""Query the instance that owns something, by datagrams that may be lost."""

import asyncio
import itertools
from collections.abc import Callable
from typing import Generic, TypeVar

from oatcrank import ids, logs
from oatcrank.cluster import (
    datagram_endpoint,
    datagram_messages,
    member,
    numbered_reply,
)

# A reply that takes longer is of no use to the request.
REPLY_TIMEOUT_S = 0.015
# After this many queries in a row without a reply, an owner is not asked for
# OWNER_RETRY_S.
MAX_MISSES = 2
OWNER_RETRY_S = 1.0

Reply = TypeVar('Reply', bound=numbered_reply.NumberedReply)


class _OwnerState:
    """Track whether an owner replies."""

    def __init__(self) -> None:
        self._misses = 0
        self._skipped_until_s = float(0)

    def is_available(self, now_s: float) -> bool:
        return now_s >= self._skipped_until_s

    def record_reply(self) -> None:
        self._misses = 0

    def record_miss(self, now_s: float) -> bool:
        """Count a missing reply; return whether the owner is skipped now."""
        self._misses += 1
        if self._misses < MAX_MISSES:
            return False
        self._skipped_until_s = now_s + OWNER_RETRY_S
        return True


class OwnerQueries(Generic[Reply]):
    """Send numbered queries and wait for their replies."""

    def __init__(
        self,
        endpoint: datagram_endpoint.DatagramEndpoint,
        reply_type: type[Reply],
    ) -> None:
        """Wait for replies of one type at an endpoint."""
        self._endpoint = endpoint
        endpoint.set_handler(reply_type, self._handle_reply)
        self._state_by_id: dict[ids.InstanceId, _OwnerState] = {}
        self._numbers = itertools.count(1)
        self._reply_by_number: dict[int, asyncio.Future[Reply]] = {}

    async def ask(
        self,
        owner: member.Member,
        build_query: Callable[[int], datagram_messages.Datagram],
    ) -> Reply | None:
        """Return the reply of an owner, or None if there is none in time."""
        state = self._state_by_id.setdefault(owner.instance_id, _OwnerState())
        now_s = asyncio.get_running_loop().time()
        if not state.is_available(now_s):
            return None
        reply = await self._send(owner, build_query)
        if reply is not None:
            state.record_reply()
            return reply
        if state.record_miss(now_s):
            logs.event('schedule_owner_unreachable', owner=owner.instance_id)
        return None

    async def _send(
        self,
        owner: member.Member,
        build_query: Callable[[int], datagram_messages.Datagram],
    ) -> Reply | None:
        number = next(self._numbers)
        reply: asyncio.Future[Reply] = (
            asyncio.get_running_loop().create_future()
        )
        self._reply_by_number[number] = reply
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                self._endpoint.send(build_query(number), owner.datagram_address)
                return await reply
        except TimeoutError:
            return None
        finally:
            del self._reply_by_number[number]

    def _handle_reply(self, received: Reply, _: str) -> None:
        reply = self._reply_by_number.get(received.number)
        if reply is not None and not reply.done():
            reply.set_result(received)
