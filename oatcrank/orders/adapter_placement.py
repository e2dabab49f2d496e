"""Decide which server loads an adapter, and which adapter makes way.

Answers callers that ask for more adapters than servers have places for: what
was asked for longest ago makes way, and nothing that is in use, for its server
takes no other order until all runs with it have ended.
"""

from collections.abc import Collection

import msgspec

from oatcrank import ids
from oatcrank.orders import ledger, usage
from oatcrank.routing import need, route

# An adapter asked for this lately may run where no report tells of it yet.
UNREPORTED_S = 0.6


class Choice(msgspec.Struct, frozen=True, kw_only=True):
    """Name the server, and the adapter that it unloads first, if any."""

    server_id: ids.ServerId
    unload: tuple[ids.ModelName, ids.AdapterName] | None = None


class AdapterPlacement:
    """Weigh the ledgers of one service's servers."""

    def __init__(
        self,
        ledgers: Collection[ledger.Ledger],
        engine: route.Engine,
        used: usage.Usage,
        service: ids.ServiceName,
    ) -> None:
        """Decide for the servers of a service."""
        self._ledgers = ledgers
        self._engine = engine
        self._usage = used
        self._service = service

    def best(self, model: ids.ModelName, now_s: float) -> Choice | None:
        """Return where to load an adapter of a model that is held."""
        options = []
        for one in self._ledgers:
            choice = self.at(one, model, now_s)
            if choice is not None:
                options.append(
                    (self._cost(choice), one.adapter_count(), choice)
                )
        if not options:
            return None
        return min(options, key=lambda option: option[:2])[2]

    def at(
        self,
        one: ledger.Ledger,
        model: ids.ModelName,
        now_s: float,
    ) -> Choice | None:
        """Return what makes way for an adapter at one server, if it fits."""
        if model not in one.adapters_by_model or not one.ready(now_s):
            return None
        if one.adapter_count() < self._engine.max_adapters:
            return Choice(server_id=one.registration.server_id)
        victim = self._victim(one, now_s)
        if victim is None:
            return None
        return Choice(server_id=one.registration.server_id, unload=victim)

    def _cost(self, choice: Choice) -> float:
        """Return less for what was asked for longer ago, least for none."""
        if choice.unload is None:
            return 0
        return 1 + max(0, self._last_asked_s(choice.unload))

    def _victim(
        self,
        one: ledger.Ledger,
        now_s: float,
    ) -> tuple[ids.ModelName, ids.AdapterName] | None:
        idle = [
            (model, adapter)
            for model, adapters in one.adapters_by_model.items()
            for adapter in adapters
            if self._is_idle(
                one, need.Need(self._service, model, adapter), now_s
            )
        ]
        return min(idle, key=self._last_asked_s, default=None)

    def _is_idle(
        self,
        one: ledger.Ledger,
        wanted: need.Need,
        now_s: float,
    ) -> bool:
        if now_s - self._usage.demand.last_used_s(wanted) < UNREPORTED_S:
            return False
        return not self._usage.runs.at(
            one.registration.server_id, wanted, now_s
        )

    def _last_asked_s(
        self,
        pair: tuple[ids.ModelName, ids.AdapterName],
    ) -> float:
        return self._usage.demand.last_used_s(need.Need(self._service, *pair))
