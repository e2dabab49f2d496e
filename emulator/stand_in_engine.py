"""State of the engine stand-in."""

import collections
import time
import uuid

from emulator import (
    active_faults,
    engine_batch,
    engine_config,
    engine_faults,
    engine_memory,
    engine_orders,
)
from oatcrank import ids
from oatcrank.engines import engine

MS_PER_S = 1000


class StandInEngine:
    """Memory, batch and orders of one engine."""

    def __init__(self, config: engine_config.EngineConfig) -> None:
        """Start with nothing loaded."""
        self.config = config
        self.faults = active_faults.ActiveFaults(engine_faults.EngineFaults())
        self.memory = engine_memory.EngineMemory(config.memory_mb)
        self.batch = engine_batch.EngineBatch(config, self.faults)
        self.orders = engine_orders.EngineOrders(
            config, self.faults, self.memory, self.batch
        )
        self._boot_id = uuid.uuid4().hex
        self._load_updated_at: float = 0
        self._running: collections.Counter[str] = collections.Counter()
        self._queued: collections.Counter[str] = collections.Counter()

    def load_header(self) -> str:
        """Return the value of the X-Load header: running, queued and slots."""
        running = len(self.batch.running)
        return f'{running},{len(self.batch.queued)},{self.config.slots}'

    def report(self) -> engine.EngineReport:
        """Return the report; its load is up to report_lag_ms old."""
        self._update_load()
        return engine.EngineReport(
            server_id=ids.ServerId(self.config.server_id),
            boot_id=self._boot_id,
            memory_mb=self.memory.memory_mb,
            used_mb=self.memory.used_mb,
            fence=self.orders.fence,
            slots=self.config.slots,
            running=self._running.total(),
            queued=self._queued.total(),
            held=tuple(
                self._held_model(model)
                for model in sorted(self.memory.held_by_model)
            ),
            leaving=self.faults.current.leaving,
        )

    def _held_model(self, model: str) -> engine.HeldModel:
        held = self.memory.held_by_model[model]
        return engine.HeldModel(
            model=ids.ModelName(model),
            memory_mb=held.total_mb,
            ready=held.ready,
            running=self._running[model],
            queued=self._queued[model],
            adapters=tuple(
                ids.AdapterName(name) for name in sorted(held.ready_adapters)
            ),
        )

    def _update_load(self) -> None:
        now = time.monotonic()
        lag_s = self.config.report_lag_ms / MS_PER_S
        if now - self._load_updated_at < lag_s:
            return
        self._load_updated_at = now
        self._running = collections.Counter(
            running.request.model for running in self.batch.running
        )
        self._queued = collections.Counter(
            queued.request.model for queued in self.batch.queued
        )
