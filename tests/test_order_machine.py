"""Run random sequences of placements, lost orders, crashes and holder changes.

Whatever happens to orders, no worker is ordered to hold more than it can, no
fence decreases, and the limit of loads from the store is kept.
"""

import asyncio
from unittest import mock

import routing_parts
import worker_fleet
from hypothesis import settings, stateful
from hypothesis import strategies as st

from emulator import virtual_time_loop
from oatcrank.orders import (
    boot_clock,
    demand,
    lease_term,
    order_coordinator,
    placement_status,
    store_load_limit,
)
from oatcrank.routing import need, route_table

EXAMPLES = 60
STEPS = 40
SILENT_CHANGE_S = 3.4
models = st.sampled_from([f'm{number}' for number in range(12)])
adapters = st.sampled_from([None, 'a1', 'a2', 'a3', 'a4', 'a5'])
deliveries = st.sampled_from(
    ['answered', 'answered', 'late', 'lost', 'unanswered', 'doubled'],
)


class OrderMachine(stateful.RuleBasedStateMachine):
    """Drive the order coordinators of successive lease holders."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = virtual_time_loop.VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.patch = mock.patch.object(
            boot_clock,
            'now',
            self.loop.time,
        )
        self.patch.start()
        self.fleet = worker_fleet.WorkerFleet(3, seed=11)
        self.routes = route_table.RouteTable()
        self.routes.replace(
            routing_parts.configuration(held=worker_fleet.ENGINE),
        )
        self.fence = 0
        self.demand = demand.DemandWindow()
        self.demand.extend_coverage(10, 0)
        self.coordinator = None
        self.take_up(store_load_limit.NO_LOADS)

    def teardown(self) -> None:
        self.patch.stop()
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.pass_time(0)
        asyncio.set_event_loop(None)
        self.loop.close()

    @stateful.rule(former_answers=st.booleans())
    def change_holder(self, former_answers) -> None:
        """Let another instance acquire the lease; the former has stopped.

        If the former can't be asked, the next holder begins only after the
        lease has expired and the former no longer relies on it.
        """
        loads = self.coordinator.store_loads() if former_answers else None
        if not former_answers:
            self.pass_time(SILENT_CHANGE_S)
        self.take_up(loads)

    def take_up(self, loads) -> None:
        if self.coordinator is not None:
            self.coordinator.stop()
        self.fence += 1
        self.coordinator = order_coordinator.OrderCoordinator(
            instance_id=f'instance-{self.fence}',
            servers=self.fleet.table,
            routes=self.routes,
            sender=self.fleet,
        )
        self.coordinator.demand = self.demand
        now_s = self.loop.time()
        term = lease_term.begin(
            fence=self.fence,
            sent_s=now_s,
            now_s=now_s,
            own_orders_end_s=float('-inf'),
            first=True,
        )
        term.set_former_stopped(now_s, loads)
        # Lease renewal is not tested here, so the term never ends.
        term.renew(10**9)
        self.coordinator.begin_term(term)

    @stateful.rule(
        model=models,
        adapter=adapters,
        delivery=deliveries,
        times=st.integers(1, 60),
    )
    def wish(self, model, adapter, delivery, times) -> None:
        """Request a placement while orders are delivered in one way."""
        self.fleet.delivery = delivery
        wanted = need.Need(worker_fleet.SERVICE, model, adapter)
        self.demand.note(
            demand.DemandSample(wanted, times, busy_s=times * 2.0),
            self.loop.time(),
        )
        self.spawn(self.ask(wanted))
        self.pass_time(0.05)

    @stateful.rule(delivery=deliveries)
    def balance(self, delivery) -> None:
        """Let the coordinator add replicas."""
        self.fleet.delivery = delivery
        self.coordinator.add_replicas()
        self.pass_time(0.05)

    @stateful.rule(number=st.integers(0, 2))
    def crash(self, number) -> None:
        """Restart a worker under the same id."""
        self.fleet.workers[number].restart()

    @stateful.rule(number=st.integers(0, 2))
    def use_adapters(self, number) -> None:
        """Mark all adapters of a worker as in use."""
        worker = self.fleet.workers[number]
        worker.in_use = {
            (model, adapter)
            for model, held in worker.contents.items()
            for adapter in held
        }

    @stateful.rule(seconds=st.floats(0.01, 3))
    def pass_time(self, seconds) -> None:
        """Let time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @stateful.invariant()
    def nothing_is_broken(self) -> None:
        assert not self.fleet.violations

    def spawn(self, work) -> None:
        self.loop.create_task(work)

    async def ask(self, wanted) -> None:
        await self.quietly(self.coordinator.request_placement(wanted, ()))

    async def quietly(self, work) -> None:
        try:
            await work
        except placement_status.PlacementError:
            return


OrderMachine.TestCase.settings = settings(
    max_examples=EXAMPLES,
    stateful_step_count=STEPS,
    deadline=None,
    derandomize=True,
)
TestOrderMachine = OrderMachine.TestCase
