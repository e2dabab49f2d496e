"""Report on the engine stand-in."""

import asyncio

from emulator import stand_in_engine
from oatcrank import json_handler


class ReportHandler(json_handler.JsonHandler):
    """Answer with the engine's report."""

    def initialize(self, engine: stand_in_engine.StandInEngine) -> None:
        """Keep the engine."""
        self._engine = engine

    async def get(self) -> None:
        """Answer with the report."""
        await asyncio.sleep(self._engine.faults.current.hang_s)
        self.answer(self._engine.report())
