"""Ask the holder of the order lease for what no server holds."""

import asyncio
import time

from oatcrank import errors, ids, logs
from oatcrank.cluster import (
    demand_notes,
    holding,
    members,
    order_turn,
    peer_messages,
    peers,
)
from oatcrank.forwarding import arranger
from oatcrank.orders import boot_clock, demand, order_desk, placement_status
from oatcrank.routing import need, server_table

ASK_WITHIN_S = 1.0
NO_HOLDER_RETURN_S = 1.0
REPORT_S = 0.5


class RemoteArranger(arranger.Arranger):
    """Join equal wishes into one question; report demand twice a second."""

    def __init__(
        self,
        turn: order_turn.OrderTurn,
        desk: order_desk.OrderDesk,
        known: members.Members,
        servers: server_table.ServerTable,
    ) -> None:
        """Ask the own desk while this instance is the holder."""
        self._turn = turn
        self._desk = desk
        self._members = known
        self._servers = servers
        self._client = peers.Client()
        self._notes = demand_notes.DemandNotes()
        self._recent = demand.Demand()
        self._told: holding.Holding | None = None
        self._question_by_need: dict[
            need.Need,
            asyncio.Task[arranger.Arrangement],
        ] = {}

    def note_demand(self, wanted: need.Need) -> None:
        """Count a request for a model."""
        if wanted.model is not None:
            self._notes.note_demand(wanted, time.monotonic())

    def note_start(self, server_id: ids.ServerId, wanted: need.Need) -> None:
        """Note that a server begins with a request for a model."""
        if wanted.model is not None:
            self._notes.note_start(server_id, wanted)

    def note_end(
        self,
        server_id: ids.ServerId,
        wanted: need.Need,
        seconds: float,
    ) -> None:
        """Note that it has ended, and how long the server was busy."""
        if wanted.model is not None:
            self._notes.note_end(server_id, wanted, seconds)

    async def arrange(self, wanted: need.Need) -> arranger.Arrangement:
        """Have something loaded; the same wish joins one under way."""
        question = self._question_by_need.get(wanted)
        if question is None:
            question = asyncio.ensure_future(self._ask(wanted))
            self._question_by_need[wanted] = question
            question.add_done_callback(
                lambda _: self._question_by_need.pop(wanted, None),
            )
        return await asyncio.shield(question)

    async def run(self) -> None:
        """Report demand to the holder until cancelled."""
        while True:
            await asyncio.sleep(REPORT_S)
            await self._report()

    async def _ask(self, wanted: need.Need) -> arranger.Arrangement:
        query = peer_messages.ArrangeQuery(
            wanted=wanted,
            unusable=self._unusable(wanted),
        )
        try:
            told = await self._put(query)
        except (peers.PeerUnreachable, errors.PlatformError) as error:
            logs.event('arrange_failed', model=wanted.model, error=error)
            return arranger.Arrangement(
                ready_in_s=NO_HOLDER_RETURN_S,
                refused='the order giver is unreachable',
            )
        if told.server_id is not None:
            found = self._servers.by_id.get(told.server_id)
            if found is not None:
                found.learn(wanted)
        return arranger.Arrangement(
            ready_in_s=told.wait_s,
            refused=told.refused,
            hopeless=told.hopeless,
        )

    async def _put(
        self,
        query: peer_messages.ArrangeQuery,
    ) -> peer_messages.Arranged:
        holder = self._turn.newest()
        if holder is None:
            return peer_messages.Arranged(
                wait_s=NO_HOLDER_RETURN_S,
                refused='no instance gives orders',
            )
        told = await self._ask_holder(holder, query)
        if told.holder is None or told.holder.fence <= holder.fence:
            return told
        self._turn.take_told(told.holder)
        return await self._ask_holder(told.holder, query)

    async def _ask_holder(
        self,
        holder: holding.Holding,
        query: peer_messages.ArrangeQuery,
    ) -> peer_messages.Arranged:
        if holder.instance_id == self._members.own.instance_id:
            return await answer(self._desk, self._turn, query)
        return await self._client.ask(
            holder.peer,
            'arrange',
            query,
            peer_messages.Arranged,
            ASK_WITHIN_S,
        )

    def _unusable(self, wanted: need.Need) -> tuple[ids.ServerId, ...]:
        now_s = time.monotonic()
        return tuple(
            one.server_id
            for one in self._servers.of_service(wanted.service)
            if one.holds(wanted) and not one.usable(now_s)
        )

    def _news(
        self,
        holder: holding.Holding,
    ) -> peer_messages.DemandReport:
        """Return the demand since the last report; a new holder gets all."""
        now_s = time.monotonic()
        news = self._notes.take_news(now_s)
        for asked in news:
            self._recent.note(asked, now_s)
        is_new = holder != self._told
        self._told = holder
        return peer_messages.DemandReport(
            reporter=self._members.own.instance_id,
            asked=self._recent.summary(now_s) if is_new else news,
            span_s=self._recent.age_s(now_s) if is_new else REPORT_S,
            running=self._notes.running(),
        )

    async def _report(self) -> None:
        holder = self._turn.newest()
        if holder is None:
            return
        report = self._news(holder)
        if not (report.asked or report.running):
            return
        if holder.instance_id == self._members.own.instance_id:
            take(self._desk, report)
            return
        try:
            await self._client.ask(
                holder.peer,
                'demand',
                report,
                peer_messages.Done,
                ASK_WITHIN_S,
            )
        except peers.PeerUnreachable as error:
            logs.event('demand_unreported', error=error)


async def answer(
    desk: order_desk.OrderDesk,
    turn: order_turn.OrderTurn,
    query: peer_messages.ArrangeQuery,
) -> peer_messages.Arranged:
    """Answer a question at the desk."""
    try:
        placed = await desk.request_placement(query.wanted, query.unusable)
    except placement_status.PlacementError as error:
        logs.event(
            'not_arranged',
            model=query.wanted.model,
            adapter=query.wanted.adapter or '',
            reason=error,
            again_s=error.retry_after_s,
        )
        return peer_messages.Arranged(
            wait_s=error.retry_after_s,
            refused=str(error),
            hopeless=error.unplaceable,
            holder=turn.newest(),
        )
    return peer_messages.Arranged(
        wait_s=placed.wait_s,
        server_id=placed.server_id,
    )


def take(
    desk: order_desk.OrderDesk,
    report: peer_messages.DemandReport,
) -> None:
    """Add a report to the demand that the desk weighs."""
    now_s = boot_clock.now()
    desk.runs.take(report.reporter, report.running, now_s)
    desk.asked.reaches_back(report.span_s, now_s)
    for one in report.asked:
        desk.asked.note(one, now_s)
