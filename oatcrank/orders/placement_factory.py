"""Create placements from the current state of a service."""

import time

from oatcrank import ids
from oatcrank.orders import (
    adapter_placement,
    boot_clock,
    model_placement,
    order_dispatcher,
    placement_status,
    server_state,
    server_state_table,
    usage,
)
from oatcrank.routing import route, route_table, server_table

# Above this number of requests per slot, some wait at the server.
CROWDED_LOAD = 0.7
# Time within which all instances report demand and runs to a new lease holder.
REPORTS_DUE_S = 0.7
UnusableIds = tuple[ids.ServerId, ...]


class PlacementFactory:
    """Create placements from server states, configuration and usage."""

    def __init__(
        self,
        server_states: server_state_table.ServerStateTable,
        servers: server_table.ServerTable,
        routes: route_table.RouteTable,
        recent_usage: usage.Usage,
        dispatcher: order_dispatcher.OrderDispatcher,
    ) -> None:
        """Read the given tables and usage, and a dispatcher's lease term."""
        self._dispatcher = dispatcher
        self._server_states = server_states
        self._servers = servers
        self._routes = routes
        self._usage = recent_usage

    def engine(self, service: ids.ServiceName) -> route.Engine:
        """Return a service's server capacity, or raise PlacementError."""
        configuration = self._routes.configuration
        configured = (
            configuration and configuration.service_by_name.get(service)
        ) or None
        if configured is None or configured.engine is None:
            raise placement_status.PlacementError(
                'the service has no models', 0, unplaceable=True
            )
        return configured.engine

    def engine_services(self) -> tuple[ids.ServiceName, ...]:
        """Return the services whose servers hold models."""
        configuration = self._routes.configuration
        if configuration is None:
            return ()
        return tuple(
            service.name
            for service in configuration.service_by_name.values()
            if service.engine is not None
        )

    def models(
        self,
        service: ids.ServiceName,
        unusable: UnusableIds = (),
    ) -> model_placement.ModelPlacement:
        """Return a placement of models among the usable servers."""
        now_s = time.monotonic()
        crowded = frozenset(
            server.server_id
            for server in self._servers.of_service(service)
            if server.load(now_s) > CROWDED_LOAD
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
        """Return a placement of adapters among the usable servers."""
        return adapter_placement.AdapterPlacement(
            self._usable(service, unusable),
            self.engine(service),
            self._usage,
            service,
        )

    def _reports_complete(self) -> bool:
        """Return whether the other instances have had time to report."""
        term = self._dispatcher.term
        if term is None:
            return False
        return boot_clock.now() - term.acquired_s >= REPORTS_DUE_S

    def _usable(
        self,
        service: ids.ServiceName,
        unusable: UnusableIds,
    ) -> list[server_state.ServerState]:
        """Return the states of usable servers that are not excluded."""
        now_s = time.monotonic()
        locally_usable = {
            server.server_id
            for server in self._servers.of_service(service)
            if server.is_usable(now_s)
        }
        return [
            state
            for state in self._server_states.of_service(service)
            if state.registration.server_id
            in locally_usable.difference(unusable)
        ]
