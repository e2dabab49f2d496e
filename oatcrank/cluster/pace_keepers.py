"""Keep the pace of each model server at one instance.

All instances choose the same keeper for a server from the members that they
know.  Nothing depends on their agreeing: a prompt whose keeper doesn't answer
goes at once.
"""

import asyncio
import itertools

import xxhash

from oatcrank import ids, logs
from oatcrank.cluster import member, members, pace_messages
from oatcrank.forwarding import pacer, request_metrics
from oatcrank.routing import prompt_schedule

# An answer that takes longer is of no more use to a request.
ANSWER_WITHIN_S = 0.015
# After so many questions in a row without an answer, a keeper is not asked.
MOST_MISSES = 2
SILENCE_S = 1.0
# Servers whose pace is kept before those that are free are forgotten.
MOST_PACES = 1024

Address = tuple[str, int]


class _Keeper:
    """Remember whether an instance answers."""

    def __init__(self) -> None:
        self._misses = 0
        self._silent_until_s = float(0)

    def answers(self, now_s: float) -> bool:
        return now_s >= self._silent_until_s

    def note_answer(self) -> None:
        self._misses = 0

    def note_miss(self, now_s: float) -> bool:
        """Return whether it is not asked for a while now."""
        self._misses += 1
        if self._misses < MOST_MISSES:
            return False
        self._silent_until_s = now_s + SILENCE_S
        return True


class PaceKeepers(pacer.Pacer, asyncio.DatagramProtocol):
    """Keep the pace of some servers, and ask others for the rest."""

    def __init__(
        self,
        known: members.Members,
        read_tokens_per_s: float = prompt_schedule.READ_TOKENS_PER_S,
    ) -> None:
        """Share the servers among the members."""
        self._members = known
        self._read_tokens_per_s = read_tokens_per_s
        self._pace_by_id: dict[
            ids.ServerId, prompt_schedule.PromptSchedule
        ] = {}
        self._keeper_by_id: dict[ids.InstanceId, _Keeper] = {}
        self._numbers = itertools.count(1)
        self._reply_by_number: dict[int, asyncio.Future[float]] = {}
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self, host: str, port: int) -> None:
        """Listen for datagrams of other instances."""
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self,
            local_addr=(host, port),
        )

    def close(self) -> None:
        """Listen no more."""
        if self._transport is not None:
            self._transport.close()

    async def reserve(
        self,
        server_id: ids.ServerId,
        prompt: prompt_schedule.Prompt,
    ) -> float:
        """Return how long a prompt waits for its turn, in seconds."""
        wait_s = await self._wait_s(server_id, prompt)
        request_metrics.PACED_SECONDS.observe(wait_s)
        return wait_s

    # asyncio.DatagramProtocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to send and receive."""
        self._transport = transport  # type: ignore

    def connection_lost(self, exc: Exception | None) -> None:
        """Send no more."""
        self._transport = None

    def error_received(self, exc: Exception) -> None:
        """Log that a datagram did not arrive; its question goes unanswered."""
        logs.event('pace_datagram_lost', error=repr(exc))

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Answer a question, or take an answer."""
        try:
            told = pace_messages.decode(data)
        except pace_messages.Malformed as error:
            logs.event('pace_datagram_malformed', peer=addr[0], error=error)
            return
        if isinstance(told, pace_messages.PaceReply):
            reply = self._reply_by_number.get(told.number)
            if reply is not None and not reply.done():
                reply.set_result(told.wait_s)
            return
        wait_s = self._reserve(told.server_id, told.prompt)
        self._send(pace_messages.PaceReply(told.number, wait_s), addr)

    # Deciding

    async def _wait_s(
        self,
        server_id: ids.ServerId,
        prompt: prompt_schedule.Prompt,
    ) -> float:
        chosen = self._keeper(server_id)
        if chosen is None or chosen is self._members.own:
            return self._reserve(server_id, prompt)
        known = self._keeper_by_id.setdefault(chosen.instance_id, _Keeper())
        now_s = asyncio.get_running_loop().time()
        if not known.answers(now_s):
            return 0
        question = pace_messages.PaceQuery(
            next(self._numbers),
            server_id,
            prompt,
        )
        wait_s = await self._ask(question, chosen)
        if wait_s is not None:
            known.note_answer()
            return wait_s
        if known.note_miss(now_s):
            logs.event('pace_keeper_silent', keeper=chosen.instance_id)
        return 0

    async def _ask(
        self,
        question: pace_messages.PaceQuery,
        keeper: member.Member,
    ) -> float | None:
        host, _, port = keeper.datagrams.rpartition(':')
        reply = asyncio.get_running_loop().create_future()
        self._reply_by_number[question.number] = reply
        try:
            async with asyncio.timeout(ANSWER_WITHIN_S):
                self._send(question, (host, int(port)))
                return await reply
        except TimeoutError:
            return None
        finally:
            del self._reply_by_number[question.number]

    def _keeper(self, server_id: ids.ServerId) -> member.Member | None:
        """Return the same member wherever the same ones are known."""
        candidates = [
            one
            for one in (self._members.own, *self._members.others())
            if one.ready and one.datagrams
        ]
        return max(
            candidates,
            key=lambda one: xxhash.xxh3_64_intdigest(
                f'{server_id}/{one.instance_id}'.encode(),
            ),
            default=None,
        )

    def _reserve(
        self,
        server_id: ids.ServerId,
        prompt: prompt_schedule.Prompt,
    ) -> float:
        now_s = asyncio.get_running_loop().time()
        found = self._pace_by_id.get(server_id)
        if found is None:
            self._forget_free(now_s)
            found = prompt_schedule.PromptSchedule(self._read_tokens_per_s)
            self._pace_by_id[server_id] = found
        return found.reserve(prompt, now_s)

    def _forget_free(self, now_s: float) -> None:
        if len(self._pace_by_id) < MOST_PACES:
            return
        self._pace_by_id = {
            server_id: kept
            for server_id, kept in self._pace_by_id.items()
            if not kept.is_free(now_s)
        }

    def _send(
        self,
        one: pace_messages.PaceQuery | pace_messages.PaceReply,
        address: Address,
    ) -> None:
        if self._transport is not None:
            self._transport.sendto(pace_messages.encode(one), address)
