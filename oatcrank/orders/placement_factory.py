"""Put together what placement weighs for one service at a moment."""

import time

from oatcrank import ids
from oatcrank.orders import (
    adapter_placement,
    boot_clock,
    ledger,
    ledger_table,
    model_placement,
    order_dispatcher,
    placement_status,
    usage,
)
from oatcrank.routing import route, route_table, server_table

# With more requests per slot, some wait at the server.
CROWDED_LOAD = 0.7
# All instances have told a new holder by then what is asked for and what runs.
REPORTS_DUE_S = 0.7
UnusableIds = tuple[ids.ServerId, ...]


class PlacementFactory:
    """Weigh the servers of a service against what is seen of requests."""

    def __init__(
        self,
        ledgers: ledger_table.LedgerTable,
        servers: server_table.ServerTable,
        routes: route_table.RouteTable,
        used: usage.Usage,
        dispatcher: order_dispatcher.OrderDispatcher,
    ) -> None:
        """Take servers and configuration from tables, the turn from a line."""
        self._dispatcher = dispatcher
        self._ledgers = ledgers
        self._servers = servers
        self._routes = routes
        self._usage = used

    def engine(self, service: ids.ServiceName) -> route.Engine:
        """Return what a service's servers can hold, or raise NotOrdered."""
        configuration = self._routes.configuration
        found = (
            configuration and configuration.service_by_name.get(service)
        ) or None
        if found is None or found.engine is None:
            raise placement_status.PlacementError(
                'the service has no models', 0, unplaceable=True
            )
        return found.engine

    def engine_services(self) -> tuple[ids.ServiceName, ...]:
        """Return the services whose servers hold models."""
        configuration = self._routes.configuration
        if configuration is None:
            return ()
        return tuple(
            one.name
            for one in configuration.service_by_name.values()
            if one.engine is not None
        )

    def models(
        self,
        service: ids.ServiceName,
        unusable: UnusableIds = (),
    ) -> model_placement.ModelPlacement:
        """Return the placement of models among usable servers."""
        now_s = time.monotonic()
        crowded = frozenset(
            one.server_id
            for one in self._servers.of_service(service)
            if one.load(now_s) > CROWDED_LOAD
        )
        return model_placement.ModelPlacement(
            self._usable(service, unusable),
            self.engine(service),
            self._usage,
            service,
            boot_clock.now(),
            crowded=crowded,
            reports_complete=self._reports_complete(),
        )

    def adapters(
        self,
        service: ids.ServiceName,
        unusable: UnusableIds,
    ) -> adapter_placement.AdapterPlacement:
        """Return the placement of adapters among usable servers."""
        return adapter_placement.AdapterPlacement(
            self._usable(service, unusable),
            self.engine(service),
            self._usage,
            service,
        )

    def _reports_complete(self) -> bool:
        """Tell whether the other instances have had time to report."""
        term = self._dispatcher.term
        if term is None:
            return False
        return boot_clock.now() - term.acquired_s >= REPORTS_DUE_S

    def _usable(
        self,
        service: ids.ServiceName,
        unusable: UnusableIds,
    ) -> list[ledger.Ledger]:
        """Return the ledgers of servers that nobody has found unusable."""
        now_s = time.monotonic()
        own = {
            one.server_id
            for one in self._servers.of_service(service)
            if one.is_usable(now_s)
        }
        return [
            one
            for one in self._ledgers.of_service(service)
            if one.registration.server_id in own.difference(unusable)
        ]
