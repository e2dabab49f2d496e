"""Report the demand at this instance to the controllers."""

import asyncio
from collections.abc import Callable

from oatcrank import errors, ids, rpc
from oatcrank.control import demand_report, plan_view
from oatcrank.entry import dispatch_queue
from oatcrank.membership import members

PERIOD_S = 0.5
TIMEOUT_S = 1.0
DEMAND_PATH = '/internal/demand'

RecordReport = Callable[[demand_report.DemandReport], None]


class DemandSender:
    """Report demand to every instance that controls a pool."""

    def __init__(
        self,
        *,
        queue: dispatch_queue.DispatchQueue,
        plans: plan_view.PlanView,
        members: members.Members,
        client: rpc.Rpc,
        record_locally: RecordReport,
    ) -> None:
        """Pass each report also to record_locally for local controllers."""
        self._queue = queue
        self._plans = plans
        self._members = members
        self._client = client
        self._record_locally = record_locally
        self._reported: set[ids.ModelName] = set()
        self._send_tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            self.send_report()
            await asyncio.sleep(PERIOD_S)

    def send_report(self) -> None:
        """Send the demand since the last report."""
        report = self._build_report()
        if not report.models:
            return
        self._record_locally(report)
        for address in self._controller_addresses():
            task = asyncio.create_task(self._send(address, report))
            self._send_tasks.add(task)
            task.add_done_callback(self._send_tasks.discard)

    def _build_report(self) -> demand_report.DemandReport:
        arrivals = self._queue.arrivals_by_model.copy()
        self._queue.arrivals_by_model.clear()
        active = set(arrivals) | self._queue.busy_models()
        demands = tuple(
            demand_report.ModelDemand(
                model=model,
                arrivals=arrivals[model],
                waiting=self._queue.waiting(model),
                running=self._queue.running_by_model[model],
                service_s=self._queue.service_s_by_model.get(model, 0),
            )
            for model in sorted(active | self._reported)
        )
        self._reported = active
        return demand_report.DemandReport(
            instance_id=self._members.own.instance_id,
            models=demands,
        )

    def _controller_addresses(self) -> set[str]:
        own_id = self._members.own.instance_id
        controllers = {
            plan.controller for plan in self._plans.plan_by_pool.values()
        }
        return {
            peer.address
            for peer in self._members.alive()
            if peer.instance_id in controllers and peer.instance_id != own_id
        }

    async def _send(
        self, address: str, report: demand_report.DemandReport
    ) -> None:
        try:
            await self._client.post(
                address,
                DEMAND_PATH,
                report,
                demand_report.DemandReportReply,
                timeout_s=TIMEOUT_S,
            )
        except errors.OatcrankError:
            # Only the arrivals are lost: the next report repeats the numbers
            # of waiting and running requests.
            return
