"""Base class for the handlers that oatcrank calls on an engine."""

from emulator import cut_handler, stand_in_engine


class EngineHandler(cut_handler.CutHandler):
    """Handler of an engine; cuts connections while the engine is down."""

    def initialize(self, engine: stand_in_engine.StandInEngine) -> None:
        """Set the engine."""
        self._engine = engine

    def prepare(self) -> None:
        """Cut the connection if the engine is down."""
        if self._engine.faults.current.down:
            self.cut()
