"""Handle requests between controllers and entry instances."""

from typing import Any

from oatcrank import ids
from oatcrank.control import (
    control_peers,
    demand_report,
    demand_sender,
    demand_totals,
    idle_query,
    leadership,
    pool_manager,
    superseded_controller,
    superseded_reply,
)
from oatcrank.entry import json_handler
from oatcrank.membership import members


class DemandHandler(json_handler.JsonHandler):
    """Receive demand reports of other instances."""

    def initialize(
        self,
        demand_totals: demand_totals.DemandTotals,
        lease: leadership.Leadership,
    ) -> None:
        """Set the totals that reports are added to, and the lease."""
        self._demand_totals = demand_totals
        self._lease = lease

    async def post(self) -> None:
        """Add one report and answer whether this instance holds the lease."""
        self._demand_totals.add_report(self.decode(demand_report.DemandReport))
        controls = self._lease.held_fence() is not None
        self.answer(demand_report.DemandReportReply(controls))


class IdleHandler(json_handler.JsonHandler):
    """Answer whether this instance has stopped using a replica."""

    def initialize(self, is_idle_here: control_peers.IsIdle) -> None:
        """Set the check for requests on this instance."""
        self._is_idle_here = is_idle_here

    async def post(self) -> None:
        """Answer one query."""
        query = self.decode(idle_query.IdleQuery)
        self.answer(idle_query.IdleReply(self._is_idle_here(query)))


class SupersededHandler(json_handler.JsonHandler):
    """Stop the controllers of this instance after a takeover by another."""

    def initialize(
        self,
        pool_manager: pool_manager.PoolManager,
        members: members.Members,
    ) -> None:
        """Set the controllers to stop."""
        self._pool_manager = pool_manager
        self._own = members.own

    async def post(self) -> None:
        """Stop sending orders under the superseded fence and earlier ones."""
        superseded = self.decode(superseded_controller.SupersededController)
        stopped = self._pool_manager.stop_sending_below(
            ids.Fence(superseded.fence + 1)
        )
        self.answer(
            superseded_reply.SupersededReply(
                instance_id=self._own.instance_id,
                incarnation=self._own.incarnation,
                stopped=stopped,
            ),
        )


def routes(
    *,
    demand_totals: demand_totals.DemandTotals,
    lease: leadership.Leadership,
    is_idle_here: control_peers.IsIdle,
    pool_manager: pool_manager.PoolManager,
    members: members.Members,
) -> list[Any]:
    """Return the routes between controllers and entry instances."""
    return [
        (
            demand_sender.DEMAND_PATH,
            DemandHandler,
            {'demand_totals': demand_totals, 'lease': lease},
        ),
        (control_peers.IDLE_PATH, IdleHandler, {'is_idle_here': is_idle_here}),
        (
            control_peers.SUPERSEDED_PATH,
            SupersededHandler,
            {'pool_manager': pool_manager, 'members': members},
        ),
    ]
