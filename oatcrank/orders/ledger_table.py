"""Keep the ledgers of all servers, and bring them up to date."""

import asyncio
import collections

from oatcrank import ids, logs
from oatcrank.orders import boot_clock, ledger, order, placement_status
from oatcrank.routing import need, server_table

LOAD_OVERDUE_S = 5.0
SOONEST_S = 0.05


class LedgerTable:
    """Hold a ledger for each server, and a lock for orders to it."""

    def __init__(
        self,
        servers: server_table.ServerTable,
        sender: order.OrderSender,
    ) -> None:
        """Follow a table of servers, and ask for reports by a sender."""
        self.by_id: dict[ids.ServerId, ledger.Ledger] = {}
        self.lock_by_id: dict[ids.ServerId, asyncio.Lock] = (
            collections.defaultdict(asyncio.Lock)
        )
        self._servers = servers
        self._sender = sender

    def clear(self) -> None:
        """Forget what is known of all servers."""
        self.by_id.clear()

    def sync(self, service: ids.ServiceName) -> None:
        """Take what the servers of a service have registered."""
        for one in self._servers.of_service(service):
            known = self.by_id.get(one.server_id)
            if known is None or not known.registration.is_same_process(
                one.registration
            ):
                self.by_id[one.server_id] = ledger.Ledger(one.registration)
            elif known.registration is not one.registration:
                known.apply_registration(one.registration)

    def of_service(self, service: ids.ServiceName) -> list[ledger.Ledger]:
        """Return the ledgers of a service's servers."""
        return [
            self.by_id[one.server_id]
            for one in self._servers.of_service(service)
            if one.server_id in self.by_id
        ]

    def find_holder(
        self,
        wanted: need.Need,
        unusable: tuple[ids.ServerId, ...],
    ) -> placement_status.PlacementStatus | None:
        """Return where something is held, or how soon it is."""
        now_s = boot_clock.now()
        soonest: placement_status.PlacementStatus | None = None
        for one in self.of_service(wanted.service):
            wait_s = _wait_s(one, wanted, now_s)
            if wait_s is None or one.registration.server_id in unusable:
                continue
            if not one.reachable(now_s):
                continue
            if soonest is None or wait_s < soonest.wait_s:
                server_id = one.registration.server_id if wait_s <= 0 else None
                soonest = placement_status.PlacementStatus(
                    wait_s=max(0, wait_s), server_id=server_id
                )
        return soonest

    async def refresh(self, service: ids.ServiceName) -> None:
        """Read the reports of servers of which too little is known."""
        now_s = boot_clock.now()
        await asyncio.gather(
            *(
                self._read_report(one)
                for one in self.of_service(service)
                if one.needs_report(now_s)
            ),
        )

    async def _read_report(self, one: ledger.Ledger) -> None:
        async with self.lock_by_id[one.registration.server_id]:
            if not one.needs_report(boot_clock.now()):
                return
            one.note_report(boot_clock.now())
            told = await self._sender.report(one.registration)
            now_s = boot_clock.now()
            if told is None:
                one.note_unreachable(now_s)
                return
            one.note_reached()
            one.apply_report(told, now_s)
            logs.event(
                'server_report',
                server=one.registration.server_id,
                orders_taken=told.orders_taken,
                busy=told.busy,
                models=','.join(told.adapters_by_model),
            )


def _wait_s(
    one: ledger.Ledger,
    wanted: need.Need,
    now_s: float,
) -> float | None:
    """Return how long until a server holds something, or None."""
    if wanted.model is None or not _lists(one, wanted, wanted.model):
        return None
    active = one.active_order
    if active is None or active.order.model != wanted.model:
        return 0
    if active.order.action is order.Action.unload:
        return None
    if now_s > active.expected_end_s + LOAD_OVERDUE_S:
        one.invalidate()
        return None
    return max(SOONEST_S, active.expected_end_s - now_s)


def _lists(
    one: ledger.Ledger,
    wanted: need.Need,
    model: ids.ModelName,
) -> bool:
    held = one.adapters_by_model.get(model)
    if held is None:
        return False
    return wanted.adapter is None or wanted.adapter in held
