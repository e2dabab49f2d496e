"""Have adapters loaded at servers that hold their model."""

from oatcrank.orders import (
    adapter_placement,
    boot_clock,
    ledger,
    ledger_table,
    order,
    order_dispatcher,
    placement_factory,
    placement_status,
)
from oatcrank.routing import need

# How long an adapter takes to arrive, and how soon to ask again for one.
LOAD_S = 0.02
RETRY_S = 0.1


class AdapterOrders:
    """Order adapters, one at a time at each server."""

    def __init__(
        self,
        dispatcher: order_dispatcher.OrderDispatcher,
        ledgers: ledger_table.LedgerTable,
        placements: placement_factory.PlacementFactory,
    ) -> None:
        """Send by a line what the weighing decides."""
        self._dispatcher = dispatcher
        self._ledgers = ledgers
        self._placements = placements

    async def load(
        self,
        wanted: need.Need,
        unusable: placement_factory.UnusableIds,
    ) -> placement_status.PlacementStatus:
        """Return where an adapter is, or raise NotOrdered."""
        if wanted.model is None or wanted.adapter is None:
            raise placement_status.PlacementError(
                'no adapter named', 0, unplaceable=True
            )
        weighed = self._placements.adapters(wanted.service, unusable)
        chosen = weighed.best(wanted.model, boot_clock.now())
        if chosen is None:
            raise placement_status.PlacementError(
                'no place for the adapter', RETRY_S
            )
        one = self._ledgers.by_id[chosen.server_id]
        async with self._ledgers.lock_by_id[chosen.server_id]:
            held = self._ledgers.find_holder(wanted, unusable)
            if held is not None:
                return held
            # Others may have had orders sent while this one waited.
            chosen = weighed.at(one, wanted.model, boot_clock.now())
            if chosen is None:
                raise placement_status.PlacementError(
                    'the place is taken', RETRY_S
                )
            await self._send(one, wanted, chosen)
        return placement_status.PlacementStatus(
            wait_s=LOAD_S, server_id=chosen.server_id
        )

    async def _send(
        self,
        one: ledger.Ledger,
        wanted: need.Need,
        chosen: adapter_placement.Choice,
    ) -> None:
        if chosen.unload is not None:
            await self._dispatcher.send(
                one, order.Action.unload, *chosen.unload, 0
            )
        if one.active_order is not None or wanted.model is None:
            raise placement_status.PlacementError(
                'the place is in use', RETRY_S
            )
        await self._dispatcher.send(
            one,
            order.Action.load,
            wanted.model,
            wanted.adapter,
            0,
        )
