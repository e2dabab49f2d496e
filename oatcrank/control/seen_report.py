"""Hold an engine's report and when it was asked for."""

import msgspec

from oatcrank import ids
from oatcrank.engines import engine


class SeenReport(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a report; asked is in seconds on this process's clock."""

    asked: float
    report: engine.EngineReport

    def held(self, model: ids.ModelName) -> engine.Held | None:
        """Return what the engine holds of a model."""
        for held in self.report.held:
            if held.model == model:
                return held
        return None
