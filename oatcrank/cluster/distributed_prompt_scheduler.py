"""Keep the prompt schedule of each model server at one instance.

All instances choose the same schedule owner for a server from the members that
they know. They need not agree: a prompt is sent at once if the schedule owner
doesn't answer.
"""

import asyncio
import itertools

import xxhash

from oatcrank import ids, logs
from oatcrank.cluster import member, members, prompt_slot_messages
from oatcrank.forwarding import prompt_scheduler, request_metrics
from oatcrank.routing import prompt_schedule

# A reply that takes longer is of no use to the request.
REPLY_TIMEOUT_S = 0.015
# After this many queries in a row without a reply, an owner is not asked for
# OWNER_RETRY_S.
MAX_MISSES = 2
OWNER_RETRY_S = 1.0
# With this many schedules, those of idle servers are dropped.
MAX_SCHEDULES = 1024

Address = tuple[str, int]


class _OwnerState:
    """Track whether a schedule owner replies."""

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


class DistributedPromptScheduler(
    prompt_scheduler.PromptScheduler, asyncio.DatagramProtocol
):
    """Schedule prompts of some servers; query the owners of the others."""

    def __init__(
        self,
        members: members.Members,
        read_tokens_per_s: float = prompt_schedule.READ_TOKENS_PER_S,
    ) -> None:
        """Distribute the schedules among the members."""
        self._members = members
        self._read_tokens_per_s = read_tokens_per_s
        self._schedule_by_id: dict[
            ids.ServerId, prompt_schedule.PromptSchedule
        ] = {}
        self._owner_state_by_id: dict[ids.InstanceId, _OwnerState] = {}
        self._query_numbers = itertools.count(1)
        self._reply_by_number: dict[int, asyncio.Future[float]] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for datagrams from other instances."""
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self,
            local_addr=(host, port),
        )

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    async def reserve(
        self,
        server_id: ids.ServerId,
        prompt: prompt_schedule.Prompt,
    ) -> float:
        """Return the wait for a prompt's slot in seconds."""
        wait_s = await self._wait_s(server_id, prompt)
        request_metrics.PROMPT_WAIT_SECONDS.observe(wait_s)
        return wait_s

    # asyncio.DatagramProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start sending and receiving."""
        self._transport = transport  # type: ignore

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop sending."""
        self._transport = None

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram was not delivered; its query gets no reply."""
        logs.event('prompt_slot_datagram_lost', error=repr(exc))

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Reply to a query, or complete a query with its reply."""
        try:
            message = prompt_slot_messages.decode(data)
        except prompt_slot_messages.Malformed as error:
            logs.event(
                'prompt_slot_datagram_malformed', peer=addr[0], error=error
            )
            return
        if isinstance(message, prompt_slot_messages.SlotReply):
            reply = self._reply_by_number.get(message.number)
            if reply is not None and not reply.done():
                reply.set_result(message.wait_s)
            return
        wait_s = self._reserve(message.server_id, message.prompt)
        self._send(prompt_slot_messages.SlotReply(message.number, wait_s), addr)

    # Scheduling

    async def _wait_s(
        self,
        server_id: ids.ServerId,
        prompt: prompt_schedule.Prompt,
    ) -> float:
        owner = self._owner(server_id)
        if owner is None or owner is self._members.own:
            return self._reserve(server_id, prompt)
        state = self._owner_state_by_id.setdefault(
            owner.instance_id,
            _OwnerState(),
        )
        now_s = asyncio.get_running_loop().time()
        if not state.is_available(now_s):
            return 0
        query = prompt_slot_messages.SlotQuery(
            next(self._query_numbers),
            server_id,
            prompt,
        )
        wait_s = await self._ask(query, owner)
        if wait_s is not None:
            state.record_reply()
            return wait_s
        if state.record_miss(now_s):
            logs.event('schedule_owner_unreachable', owner=owner.instance_id)
        return 0

    async def _ask(
        self,
        query: prompt_slot_messages.SlotQuery,
        owner: member.Member,
    ) -> float | None:
        host, _, port = owner.datagram_address.rpartition(':')
        reply = asyncio.get_running_loop().create_future()
        self._reply_by_number[query.number] = reply
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                self._send(query, (host, int(port)))
                return await reply
        except TimeoutError:
            return None
        finally:
            del self._reply_by_number[query.number]

    def _owner(self, server_id: ids.ServerId) -> member.Member | None:
        """Return the schedule owner by rendezvous hashing.

        Instances that know the same members choose the same owner.
        """
        candidates = [
            candidate
            for candidate in (self._members.own, *self._members.others())
            if candidate.ready and candidate.datagram_address
        ]
        return max(
            candidates,
            key=lambda candidate: xxhash.xxh3_64_intdigest(
                f'{server_id}/{candidate.instance_id}'.encode(),
            ),
            default=None,
        )

    def _reserve(
        self,
        server_id: ids.ServerId,
        prompt: prompt_schedule.Prompt,
    ) -> float:
        now_s = asyncio.get_running_loop().time()
        schedule = self._schedule_by_id.get(server_id)
        if schedule is None:
            self._drop_idle_schedules(now_s)
            schedule = prompt_schedule.PromptSchedule(self._read_tokens_per_s)
            self._schedule_by_id[server_id] = schedule
        return schedule.reserve(prompt, now_s)

    def _drop_idle_schedules(self, now_s: float) -> None:
        if len(self._schedule_by_id) < MAX_SCHEDULES:
            return
        self._schedule_by_id = {
            server_id: schedule
            for server_id, schedule in self._schedule_by_id.items()
            if not schedule.is_free(now_s)
        }

    def _send(
        self,
        message: prompt_slot_messages.SlotQuery
        | prompt_slot_messages.SlotReply,
        address: Address,
    ) -> None:
        if self._transport is not None:
            self._transport.sendto(
                prompt_slot_messages.encode(message), address
            )
