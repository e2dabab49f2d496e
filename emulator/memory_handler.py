"""Show the memory record of the engine stand-in."""

import msgspec

from emulator import engine_memory
from oatcrank.entry import json_handler


class MemoryPage(msgspec.Struct, frozen=True):
    """Hold every excess and the memory in use now."""

    excess: list[engine_memory.Excess]
    used_mb: int
    memory_mb: int


class MemoryHandler(json_handler.JsonHandler):
    """Answer with the memory record."""

    def initialize(self, memory: engine_memory.EngineMemory) -> None:
        """Keep the memory."""
        self._memory = memory

    def get(self) -> None:
        """Answer with every excess."""
        memory = self._memory
        self.answer(MemoryPage(memory.excess, memory.used_mb, memory.memory_mb))
