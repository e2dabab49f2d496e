"""Tell the controllers what callers ask of models here."""

import asyncio
from collections.abc import Callable

from oatcrank import errors, ids, rpc
from oatcrank.control import demand_report, plan_view
from oatcrank.entry import dispatch_queue
from oatcrank.membership import members

PERIOD_S = 0.5
TIMEOUT_S = 1.0
PATH = '/internal/demand'

Own = Callable[[demand_report.DemandReport], None]


class DemandSender:
    """Report to every instance that controls a pool."""

    def __init__(
        self,
        *,
        places: dispatch_queue.DispatchQueue,
        plans: plan_view.PlanView,
        peers: members.Members,
        client: rpc.Rpc,
        own: Own,
    ) -> None:
        """Hand reports to this instance's own board by own(report)."""
        self._places = places
        self._plans = plans
        self._peers = peers
        self._rpc = client
        self._own = own
        self._told: set[ids.ModelName] = set()
        self._sending: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            self.report()
            await asyncio.sleep(PERIOD_S)

    def report(self) -> None:
        """Send what has been asked since the last report."""
        built = self._build()
        if not built.models:
            return
        self._own(built)
        for address in self._controllers():
            task = asyncio.create_task(self._send(address, built))
            self._sending.add(task)
            task.add_done_callback(self._sending.discard)

    def _build(self) -> demand_report.DemandReport:
        arrivals = self._places.arrivals_by_model.copy()
        self._places.arrivals_by_model.clear()
        asked = set(arrivals) | self._places.busy_models()
        found = tuple(
            demand_report.ModelDemand(
                model=model,
                arrivals=arrivals[model],
                waiting=self._places.waiting(model),
                running=self._places.running_by_model[model],
                service_s=self._places.service_s_by_model.get(model, 0),
            )
            for model in sorted(asked | self._told)
        )
        self._told = asked
        return demand_report.DemandReport(
            instance_id=self._peers.this.instance_id,
            models=found,
        )

    def _controllers(self) -> set[str]:
        this = self._peers.this.instance_id
        wanted = {
            known.controller for known in self._plans.plan_by_pool.values()
        }
        return {
            peer.address
            for peer in self._peers.alive()
            if peer.instance_id in wanted and peer.instance_id != this
        }

    async def _send(
        self, address: str, built: demand_report.DemandReport
    ) -> None:
        try:
            await self._rpc.post(
                address,
                PATH,
                built,
                demand_report.Noted,
                timeout_s=TIMEOUT_S,
            )
        except errors.OatcrankError:
            # The next report carries who waits and runs; arrivals are lost.
            return
