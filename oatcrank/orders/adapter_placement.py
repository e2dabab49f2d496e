"""Decide which server loads an adapter, and which adapter is evicted.

When more adapters are requested than servers have slots for, the least recently
used one is evicted.  Adapters in use are never evicted, because their server
would take no other order until all runs with them have ended.
"""

from collections.abc import Collection

import msgspec

from oatcrank import ids
from oatcrank.orders import server_state, usage
from oatcrank.routing import need, route

# An adapter used less long ago may be running without being reported yet.
UNREPORTED_S = 0.6


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """The server that loads an adapter, and the adapter it unloads first."""

    server_id: ids.ServerId
    unload: tuple[ids.ModelName, ids.AdapterName] | None = None


class AdapterPlacement:
    """Choose among one service's servers by their state."""

    def __init__(
        self,
        server_states: Collection[server_state.ServerState],
        engine: route.Engine,
        recent_usage: usage.Usage,
        service: ids.ServiceName,
    ) -> None:
        """Consider the servers of one service."""
        self._server_states = server_states
        self._engine = engine
        self._usage = recent_usage
        self._service = service

    def choose(self, model: ids.ModelName, now_s: float) -> Choice | None:
        """Return the best server to load an adapter of a model, if any."""
        options = []
        for state in self._server_states:
            choice = self.choose_at(state, model, now_s)
            if choice is not None:
                options.append(
                    (self._cost(choice), state.adapter_count(), choice)
                )
        if not options:
            return None
        return min(options, key=lambda option: option[:2])[2]

    def choose_at(
        self,
        state: server_state.ServerState,
        model: ids.ModelName,
        now_s: float,
    ) -> Choice | None:
        """Return how to load an adapter at a server, or None if it can't."""
        if model not in state.adapters_by_model or not state.ready(now_s):
            return None
        if state.adapter_count() < self._engine.max_adapters:
            return Choice(server_id=state.registration.server_id)
        victim = self._victim(state, now_s)
        if victim is None:
            return None
        return Choice(server_id=state.registration.server_id, unload=victim)

    def _cost(self, choice: Choice) -> float:
        """Return a cost that is lowest without an eviction, then by LRU."""
        if choice.unload is None:
            return 0
        return 1 + max(0, self._last_used_s(choice.unload))

    def _victim(
        self,
        state: server_state.ServerState,
        now_s: float,
    ) -> tuple[ids.ModelName, ids.AdapterName] | None:
        idle = [
            (model, adapter)
            for model, adapters in state.adapters_by_model.items()
            for adapter in adapters
            if self._is_idle(
                state, need.Need(self._service, model, adapter), now_s
            )
        ]
        return min(idle, key=self._last_used_s, default=None)

    def _is_idle(
        self,
        state: server_state.ServerState,
        wanted: need.Need,
        now_s: float,
    ) -> bool:
        if now_s - self._usage.demand.last_used_s(wanted) < UNREPORTED_S:
            return False
        return not self._usage.runs.count(
            state.registration.server_id, wanted, now_s
        )

    def _last_used_s(
        self,
        pair: tuple[ids.ModelName, ids.AdapterName],
    ) -> float:
        return self._usage.demand.last_used_s(need.Need(self._service, *pair))
