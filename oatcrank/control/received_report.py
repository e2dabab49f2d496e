"""Define an engine's report with the time of its request."""

import msgspec

from oatcrank import ids
from oatcrank.engines import engine


class ReceivedReport(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a report and its request time in seconds on the local clock."""

    requested_at: float
    report: engine.EngineReport

    def held_model(self, model: ids.ModelName) -> engine.HeldModel | None:
        """Return the engine's entry for a model, or None."""
        for held in self.report.held:
            if held.model == model:
                return held
        return None
