"""Keep the prompt schedule of each model server at one instance.

All instances choose the same schedule owner for a server from the members that
they know. They need not agree: a prompt is sent at once if the schedule owner
doesn't answer.
"""

import asyncio

from oatcrank import ids
from oatcrank.cluster import (
    datagram_endpoint,
    datagram_messages,
    members,
    owner_queries,
)
from oatcrank.forwarding import prompt_scheduler, request_metrics
from oatcrank.routing import prompt_schedule

# With this many schedules, those of idle servers are dropped.
MAX_SCHEDULES = 1024


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
        self._queries = owner_queries.OwnerQueries(
            endpoint, datagram_messages.SlotReply
        )
        self._read_tokens_per_s = read_tokens_per_s
        self._schedule_by_id: dict[
            ids.ServerId, prompt_schedule.PromptSchedule
        ] = {}

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

    # Scheduling

    async def _wait_s(
        self,
        server_id: ids.ServerId,
        prompt: prompt_schedule.Prompt,
    ) -> float:
        owner = next(iter(self._members.ranked(server_id, 1)), None)
        if owner is None or owner is self._members.own:
            return self._reserve(server_id, prompt)
        reply = await self._queries.ask(
            owner,
            lambda number: datagram_messages.SlotQuery(
                number, server_id, prompt
            ),
        )
        return 0 if reply is None else reply.wait_s

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
