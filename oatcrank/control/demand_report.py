"""Define the demand report of an entry instance."""

import msgspec

from oatcrank import ids


class ModelDemand(msgspec.Struct, frozen=True, kw_only=True):
    """Count the arrivals since the last report and the current requests.

    service_s is the average service time, 0 if it is unknown.
    """

    model: ids.ModelName
    arrivals: int
    waiting: int
    running: int
    service_s: float


class DemandReport(msgspec.Struct, frozen=True, kw_only=True):
    """List the models with demand, and those whose demand has just ended."""

    instance_id: ids.InstanceId
    models: tuple[ModelDemand, ...]


class DemandReportReply(msgspec.Struct, frozen=True):
    """Acknowledge a report; controls: the receiver holds the control lease."""

    controls: bool
