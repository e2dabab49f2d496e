"""Be the base of what oatcrank calls on the engine stand-in."""

from emulator import cut_handler, stand_in_engine


class EngineHandler(cut_handler.CutHandler):
    """Hold the engine, and cut every connection while it is down."""

    def initialize(self, engine: stand_in_engine.StandInEngine) -> None:
        """Keep the engine."""
        self._engine = engine

    def prepare(self) -> None:
        """Take no call while down."""
        if self._engine.faults.current.down:
            self.cut()
