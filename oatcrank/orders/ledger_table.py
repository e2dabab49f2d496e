"""Table of the ledgers of all servers."""

import asyncio
import collections

from oatcrank import ids, logs
from oatcrank.orders import boot_clock, ledger, order, placement_status
from oatcrank.routing import need, server_table

# A load that takes this much longer than expected has an unknown outcome.
LOAD_OVERDUE_S = 5.0
MIN_WAIT_S = 0.05


class LedgerTable:
    """A ledger for each server, and a lock for orders to it."""

    def __init__(
        self,
        servers: server_table.ServerTable,
        sender: order.OrderSender,
    ) -> None:
        """Track a table of servers and request their reports by a sender."""
        self.by_id: dict[ids.ServerId, ledger.Ledger] = {}
        self.lock_by_id: dict[ids.ServerId, asyncio.Lock] = (
            collections.defaultdict(asyncio.Lock)
        )
        self._servers = servers
        self._sender = sender

    def clear(self) -> None:
        """Discard all ledgers."""
        self.by_id.clear()

    def sync(self, service: ids.ServiceName) -> None:
        """Apply the registrations of a service's servers."""
        for registered in self._servers.of_service(service):
            known = self.by_id.get(registered.server_id)
            if known is None or not known.registration.is_same_process(
                registered.registration
            ):
                self.by_id[registered.server_id] = ledger.Ledger(
                    registered.registration
                )
            elif known.registration is not registered.registration:
                known.apply_registration(registered.registration)

    def of_service(self, service: ids.ServiceName) -> list[ledger.Ledger]:
        """Return the ledgers of a service's servers."""
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
        for server_ledger in self.of_service(wanted.service):
            wait_s = _wait_s(server_ledger, wanted, now_s)
            if (
                wait_s is None
                or server_ledger.registration.server_id in unusable
            ):
                continue
            if not server_ledger.reachable(now_s):
                continue
            if soonest is None or wait_s < soonest.wait_s:
                server_id = (
                    server_ledger.registration.server_id
                    if wait_s <= 0
                    else None
                )
                soonest = placement_status.PlacementStatus(
                    wait_s=max(0, wait_s), server_id=server_id
                )
        return soonest

    async def refresh(self, service: ids.ServiceName) -> None:
        """Request reports of the servers whose contents are not known."""
        now_s = boot_clock.now()
        await asyncio.gather(
            *(
                self._read_report(server_ledger)
                for server_ledger in self.of_service(service)
                if server_ledger.needs_report(now_s)
            ),
        )

    async def _read_report(self, server_ledger: ledger.Ledger) -> None:
        async with self.lock_by_id[server_ledger.registration.server_id]:
            if not server_ledger.needs_report(boot_clock.now()):
                return
            server_ledger.note_report(boot_clock.now())
            report = await self._sender.report(server_ledger.registration)
            now_s = boot_clock.now()
            if report is None:
                server_ledger.note_unreachable(now_s)
                return
            server_ledger.note_reached()
            server_ledger.apply_report(report, now_s)
            logs.event(
                'server_report_received',
                server=server_ledger.registration.server_id,
                orders_taken=report.orders_taken,
                busy=report.busy,
                models=','.join(report.adapters_by_model),
            )


def _wait_s(
    server_ledger: ledger.Ledger,
    wanted: need.Need,
    now_s: float,
) -> float | None:
    """Return how long until a server has loaded something, or None."""
    if wanted.model is None or not _lists(server_ledger, wanted, wanted.model):
        return None
    active = server_ledger.active_order
    if active is None or active.order.model != wanted.model:
        return 0
    if active.order.action is order.Action.unload:
        return None
    if now_s > active.expected_end_s + LOAD_OVERDUE_S:
        server_ledger.invalidate()
        return None
    return max(MIN_WAIT_S, active.expected_end_s - now_s)


def _lists(
    server_ledger: ledger.Ledger,
    wanted: need.Need,
    model: ids.ModelName,
) -> bool:
    held = server_ledger.adapters_by_model.get(model)
    if held is None:
        return False
    return wanted.adapter is None or wanted.adapter in held
