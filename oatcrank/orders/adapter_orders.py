"""Load adapters at servers that hold their model."""

from oatcrank.orders import (
    adapter_placement,
    boot_clock,
    order,
    order_dispatcher,
    placement_factory,
    placement_status,
    server_state,
    server_state_table,
)
from oatcrank.routing import need

# Time that a server takes to load an adapter.
LOAD_S = 0.02
# Time after which a caller retries a failed placement.
RETRY_S = 0.1


class AdapterOrders:
    """Order loads of adapters, one at a time at each server."""

    def __init__(
        self,
        dispatcher: order_dispatcher.OrderDispatcher,
        server_states: server_state_table.ServerStateTable,
        placements: placement_factory.PlacementFactory,
    ) -> None:
        """Send the orders of the chosen placements."""
        self._dispatcher = dispatcher
        self._server_states = server_states
        self._placements = placements

    async def load(
        self,
        wanted: need.Need,
        unusable: placement_factory.UnusableIds,
    ) -> placement_status.PlacementStatus:
        """Return where an adapter is loaded, or raise PlacementError."""
        if wanted.model is None or wanted.adapter is None:
            raise placement_status.PlacementError(
                'no adapter named', 0, unplaceable=True
            )
        placement = self._placements.adapters(wanted.service, unusable)
        chosen = placement.choose(wanted.model, boot_clock.now())
        if chosen is None:
            raise placement_status.PlacementError(
                'no server can load the adapter', RETRY_S
            )
        state = self._server_states.by_id[chosen.server_id]
        async with self._server_states.lock_by_id[chosen.server_id]:
            held = self._server_states.find_replica(wanted, unusable)
            if held is not None:
                return held
            # Other orders may have been sent while this call waited.
            chosen = placement.choose_at(state, wanted.model, boot_clock.now())
            if chosen is None:
                raise placement_status.PlacementError(
                    'the adapter slot has been taken', RETRY_S
                )
            await self._send(state, wanted, chosen)
        return placement_status.PlacementStatus(
            wait_s=LOAD_S, server_id=chosen.server_id
        )

    async def _send(
        self,
        state: server_state.ServerState,
        wanted: need.Need,
        chosen: adapter_placement.Choice,
    ) -> None:
        if chosen.unload is not None:
            await self._dispatcher.send(
                state, order.Action.unload, *chosen.unload, 0
            )
        if state.active_order is not None or wanted.model is None:
            raise placement_status.PlacementError(
                'the adapter slot is in use', RETRY_S
            )
        await self._dispatcher.send(
            state,
            order.Action.load,
            wanted.model,
            wanted.adapter,
            0,
        )
