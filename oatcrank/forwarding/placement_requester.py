"""Define requests for models and adapters that no server holds."""

import abc

import msgspec

from oatcrank import ids
from oatcrank.routing import need


class PlacementResult(msgspec.Struct, frozen=True):
    """Result of a placement request.

    ready_in_s is the expected time in seconds until the model or adapter is
    loaded. refusal_reason is empty, or the reason why nothing was ordered; the
    request may then be repeated after ready_in_s, unless unplaceable is set.
    """

    ready_in_s: float
    refusal_reason: str = ''
    unplaceable: bool = False


class PlacementRequester(abc.ABC):
    """Interface for requesting placements and reporting demand."""

    @abc.abstractmethod
    async def request_placement(
        self,
        wanted: need.Need,
        required_version: ids.SoftwareVersion | None = None,
    ) -> PlacementResult:
        """Request a load; equal concurrent requests share one result.

        With required_version, servers of other software versions don't count.
        """

    @abc.abstractmethod
    def record_demand(self, wanted: need.Need) -> None:
        """Count a request for a model."""

    @abc.abstractmethod
    def record_start(self, server_id: ids.ServerId, wanted: need.Need) -> None:
        """Record that a server starts a request for a model."""

    @abc.abstractmethod
    def record_end(
        self,
        server_id: ids.ServerId,
        wanted: need.Need,
        seconds: float,
    ) -> None:
        """Record the end of that request and its duration in seconds."""
