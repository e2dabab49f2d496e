"""Handler that returns the memory use of the engine stand-in."""

import msgspec

from emulator import engine_memory
from oatcrank.entry import json_handler


class MemoryPage(msgspec.Struct, frozen=True):
    """Memory in use, and each time that it exceeded the engine's memory."""

    excess: list[engine_memory.Excess]
    used_mb: int
    memory_mb: int


class MemoryHandler(json_handler.JsonHandler):
    """Handler for the memory of an engine."""

    def initialize(self, memory: engine_memory.EngineMemory) -> None:
        """Set the memory to report."""
        self._memory = memory

    def get(self) -> None:
        """Return the memory in use and every excess."""
        memory = self._memory
        self.answer(
            MemoryPage(memory.excesses, memory.used_mb, memory.memory_mb)
        )
