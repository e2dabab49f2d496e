"""Hold the state of the engine stand-in."""

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

MILLISECONDS_IN_SECOND = 1000


class StandInEngine:
    """Put memory, batch and orders of one engine together."""

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
        self._load_read: float = 0
        self._running: collections.Counter[str] = collections.Counter()
        self._queued: collections.Counter[str] = collections.Counter()

    def load_header(self) -> str:
        """Return the load as the header X-Load gives it."""
        running = len(self.batch.running)
        return f'{running},{len(self.batch.queued)},{self.config.slots}'

    def report(self) -> engine.EngineReport:
        """Return the report; its load may lag."""
        self._read_load()
        return engine.EngineReport(
            server_id=ids.ServerId(self.config.server_id),
            boot_id=self._boot_id,
            memory_mb=self.memory.memory_mb,
            used_mb=self.memory.used_mb,
            fence=self.orders.fence,
            slots=self.config.slots,
            running=self._running.total(),
            queued=self._queued.total(),
            held=tuple(self._held(model) for model in self._models()),
            leaving=self.faults.current.leaving,
        )

    def _models(self) -> list[str]:
        return sorted(self.memory.held_by_model)

    def _held(self, model: str) -> engine.HeldModel:
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

    def _read_load(self) -> None:
        now = time.monotonic()
        lag_s = self.config.report_lag_ms / MILLISECONDS_IN_SECOND
        if now - self._load_read < lag_s:
            return
        self._load_read = now
        self._running = collections.Counter(
            running.asked.model for running in self.batch.running
        )
        self._queued = collections.Counter(
            queued.asked.model for queued in self.batch.queued
        )
