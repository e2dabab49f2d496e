"""Handler that returns the report of the engine stand-in."""

import asyncio

from emulator import engine_handler


class ReportHandler(engine_handler.EngineHandler):
    """Handler for reports of an engine."""

    async def get(self) -> None:
        """Return the report, after the delay that a fault sets."""
        await asyncio.sleep(self._engine.faults.current.hang_s)
        self.answer(self._engine.report())
