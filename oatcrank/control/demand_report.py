"""Describe what callers ask of models at one entry instance."""

import msgspec

from oatcrank import ids


class ModelDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Count the arrivals since the last report, and who waits and runs."""

    model: ids.ModelName
    arrivals: int
    waiting: int
    running: int
    service_s: float


class DemandReport(msgspec.Struct, frozen=True, kw_only=True):
    """Report the models whose demand is not zero, or has just become so."""

    instance_id: ids.InstanceId
    models: tuple[ModelDemand, ...]


class Noted(msgspec.Struct, frozen=True):
    """Answer a report; controls says whether its receiver controls."""

    controls: bool
