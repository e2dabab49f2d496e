"""Simulate the transfer times of the weight-store stand-in."""

import asyncio
import random
import time

from emulator import (
    active_faults,
    ledger,
    ledger_entry,
    platform_faults,
    shared_link,
    weight_load,
    weight_store_config,
)

MS_PER_S = 1000


class TimedStore:
    """Weight store that delays transfers by its rate and limits."""

    def __init__(self, config: weight_store_config.WeightStoreConfig) -> None:
        """Start with nothing in transit."""
        self.faults = active_faults.ActiveFaults(
            platform_faults.PlatformFaults()
        )
        self.ledger = ledger.Ledger()
        self.config = config
        self._model_link = shared_link.SharedLink(config.concurrent)
        self._adapter_link = shared_link.SharedLink(config.adapters_in_transit)
        self._random = random.Random(config.seed)
        self._next_start = time.monotonic()

    async def transfer(self, load: weight_load.WeightLoad) -> None:
        """Return when the weights have arrived."""
        entry = ledger_entry.LedgerEntry(
            request_id=load.server_id, model=load.model, adapter=load.adapter
        )
        self.ledger.begin(entry)
        if load.adapter:
            await self._adapter_link.transfer(self._adapter_s())
        else:
            await self._wait_for_start()
            await self._model_link.transfer(self.config.model_load_s)
        self.ledger.end(entry)

    def _adapter_s(self) -> float:
        duration_ms = self._random.uniform(
            self.config.adapter_min_ms, self.config.adapter_max_ms
        )
        return duration_ms / MS_PER_S

    async def _wait_for_start(self) -> None:
        now = time.monotonic()
        start = max(now, self._next_start)
        self._next_start = start + 1 / self.config.loads_per_s
        await asyncio.sleep(start - now)
