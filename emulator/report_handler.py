"""Report on the engine stand-in."""

import asyncio

from emulator import engine_handler


class ReportHandler(engine_handler.EngineHandler):
    """Answer with the engine's report."""

    async def get(self) -> None:
        """Answer with the report."""
        await asyncio.sleep(self._engine.faults.current.hang_s)
        self.answer(self._engine.report())
