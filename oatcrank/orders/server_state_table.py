"""Table of the states of all servers."""

import asyncio
import collections
from collections.abc import Iterable

from oatcrank import ids, logs
from oatcrank.orders import boot_clock, order, placement_status, server_state
from oatcrank.routing import need, server_table

# A load that takes this much longer than expected has an unknown outcome.
LOAD_OVERDUE_S = 5.0
MIN_WAIT_S = 0.05


class ServerStateTable:
    """A state for each server, and a lock for orders to it."""

    def __init__(
        self,
        servers: server_table.ServerTable,
        sender: order.OrderSender,
    ) -> None:
        """Track a table of servers and request their reports by a sender."""
        self.by_id: dict[ids.ServerId, server_state.ServerState] = {}
        self.lock_by_id: dict[ids.ServerId, asyncio.Lock] = (
            collections.defaultdict(asyncio.Lock)
        )
        self._servers = servers
        self._sender = sender

    def clear(self) -> None:
        """Discard all states."""
        self.by_id.clear()

    def sync(self, service: ids.ServiceName) -> None:
        """Apply the registrations of a service's servers."""
        for registered in self._servers.of_service(service):
            known = self.by_id.get(registered.server_id)
            if known is None or not known.registration.is_same_process(
                registered.registration
            ):
                self.by_id[registered.server_id] = server_state.ServerState(
                    registered.registration
                )
            elif known.registration is not registered.registration:
                active = known.active_order
                known.apply_registration(registered.registration)
                _log_finished_load(known, active)

    def of_service(
        self, service: ids.ServiceName
    ) -> list[server_state.ServerState]:
        """Return the states of a service's servers."""
        return [
            self.by_id[registered.server_id]
            for registered in self._servers.of_service(service)
            if registered.server_id in self.by_id
        ]

    def find_replica(
        self,
        wanted: need.Need,
        unusable: tuple[ids.ServerId, ...],
    ) -> placement_status.PlacementStatus | None:
        """Return where a model or adapter is loaded, or how soon it will be."""
        now_s = boot_clock.now()
        soonest: placement_status.PlacementStatus | None = None
        for state in self.of_service(wanted.service):
            wait_s = _wait_s(state, wanted, now_s)
            if wait_s is None or state.registration.server_id in unusable:
                continue
            if not state.reachable(now_s):
                continue
            if soonest is None or wait_s < soonest.wait_s:
                server_id = (
                    state.registration.server_id if wait_s <= 0 else None
                )
                soonest = placement_status.PlacementStatus(
                    wait_s=max(0, wait_s), server_id=server_id
                )
        return soonest

    async def refresh(self, service: ids.ServiceName) -> None:
        """Request reports of the servers whose contents are not known."""
        await self._read_reports(self.of_service(service))

    async def refresh_overdue(self, service: ids.ServiceName) -> None:
        """Request reports of the servers whose active order should be done."""
        now_s = boot_clock.now()
        await self._read_reports(
            [
                state
                for state in self.of_service(service)
                if state.is_end_overdue(now_s)
            ]
        )

    async def _read_reports(
        self, states: Iterable[server_state.ServerState]
    ) -> None:
        now_s = boot_clock.now()
        await asyncio.gather(
            *(
                self._read_report(state)
                for state in states
                if state.needs_report(now_s)
            ),
        )

    async def _read_report(self, state: server_state.ServerState) -> None:
        async with self.lock_by_id[state.registration.server_id]:
            if not state.needs_report(boot_clock.now()):
                return
            state.record_report_request(boot_clock.now())
            report = await self._sender.report(state.registration)
            now_s = boot_clock.now()
            if report is None:
                state.record_unreachable(now_s)
                return
            state.record_reached()
            active = state.active_order
            state.apply_report(report, now_s)
            _log_finished_load(state, active)
            logs.event(
                'server_report_received',
                server=state.registration.server_id,
                orders_taken=report.orders_taken,
                busy=report.busy,
                models=','.join(report.adapters_by_model),
            )


def _log_finished_load(
    state: server_state.ServerState,
    former: server_state.ActiveOrder | None,
) -> None:
    """Log the end of a model's load that was active before an update."""
    if former is None or state.active_order is not None:
        return
    if former.order.action is order.Action.load and not former.order.adapter:
        logs.event(
            'load_finished',
            model=former.order.model,
            server=state.registration.server_id,
            took_s=round(boot_clock.now() - former.started_s, 2),
            expected_s=round(former.expected_end_s - former.started_s, 2),
        )


def _wait_s(
    state: server_state.ServerState,
    wanted: need.Need,
    now_s: float,
) -> float | None:
    """Return how long until a server has loaded something, or None."""
    if wanted.model is None or not _holds(state, wanted, wanted.model):
        return None
    active = state.active_order
    if active is None or active.order.model != wanted.model:
        return 0
    if active.order.action is order.Action.unload:
        return None
    if now_s > active.expected_end_s + LOAD_OVERDUE_S:
        state.invalidate()
        return None
    return max(MIN_WAIT_S, active.expected_end_s - now_s)


def _holds(
    state: server_state.ServerState,
    wanted: need.Need,
    model: ids.ModelName,
) -> bool:
    held = state.adapters_by_model.get(model)
    if held is None:
        return False
    return wanted.adapter is None or wanted.adapter in held
