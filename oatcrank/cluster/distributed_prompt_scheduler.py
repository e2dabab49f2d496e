"""Keep the prompt schedule of each model server at one instance.

All instances choose the same schedule owner for a server from the members that
they know. They need not agree: a prompt is sent at once if the schedule owner
doesn't answer.
"""

import asyncio
import itertools

from oatcrank import ids, logs
from oatcrank.cluster import (
    datagram_endpoint,
    datagram_messages,
    member,
    members,
)
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


class DistributedPromptScheduler(prompt_scheduler.PromptScheduler):
    """Schedule prompts of some servers; query the owners of the others."""

    def __init__(
        self,
        members: members.Members,
        endpoint: datagram_endpoint.DatagramEndpoint,
        read_tokens_per_s: float = prompt_schedule.READ_TOKENS_PER_S,
    ) -> None:
        """Distribute the schedules among the members."""
        self._members = members
        self._endpoint = endpoint
        endpoint.set_handler(datagram_messages.SlotQuery, self._handle_query)
        endpoint.set_handler(datagram_messages.SlotReply, self._handle_reply)
        self._read_tokens_per_s = read_tokens_per_s
        self._schedule_by_id: dict[
            ids.ServerId, prompt_schedule.PromptSchedule
        ] = {}
        self._owner_state_by_id: dict[ids.InstanceId, _OwnerState] = {}
        self._query_numbers = itertools.count(1)
        self._reply_by_number: dict[int, asyncio.Future[float]] = {}

    async def reserve(
        self,
        server_id: ids.ServerId,
        prompt: prompt_schedule.Prompt,
    ) -> float:
        """Return the wait for a prompt's slot in seconds."""
        wait_s = await self._wait_s(server_id, prompt)
        request_metrics.PROMPT_WAIT_SECONDS.observe(wait_s)
        return wait_s

    # Datagrams

    def _handle_query(
        self, query: datagram_messages.SlotQuery, sender: str
    ) -> None:
        wait_s = self._reserve(query.server_id, query.prompt)
        self._endpoint.send(
            datagram_messages.SlotReply(query.number, wait_s), sender
        )

    def _handle_reply(
        self, slot_reply: datagram_messages.SlotReply, _: str
    ) -> None:
        reply = self._reply_by_number.get(slot_reply.number)
        if reply is not None and not reply.done():
            reply.set_result(slot_reply.wait_s)

    # Scheduling

    async def _wait_s(
        self,
        server_id: ids.ServerId,
        prompt: prompt_schedule.Prompt,
    ) -> float:
        owner = next(iter(self._members.ranked(server_id, 1)), None)
        if owner is None or owner is self._members.own:
            return self._reserve(server_id, prompt)
        state = self._owner_state_by_id.setdefault(
            owner.instance_id,
            _OwnerState(),
        )
        now_s = asyncio.get_running_loop().time()
        if not state.is_available(now_s):
            return 0
        query = datagram_messages.SlotQuery(
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
        query: datagram_messages.SlotQuery,
        owner: member.Member,
    ) -> float | None:
        reply = asyncio.get_running_loop().create_future()
        self._reply_by_number[query.number] = reply
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                self._endpoint.send(query, owner.datagram_address)
                return await reply
        except TimeoutError:
            return None
        finally:
            del self._reply_by_number[query.number]

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
