"""Define how instances share what began a stream."""

import abc

from oatcrank import ids
from oatcrank.routing import stream_origin


class StreamOrigins(abc.ABC):
    """Interface for sharing and finding the origins of streams."""

    @abc.abstractmethod
    def record(
        self, request_id: ids.RequestId, origin: stream_origin.StreamOrigin
    ) -> None:
        """Record the origin of a stream that begins at this instance."""

    @abc.abstractmethod
    async def find(
        self,
        request_id: ids.RequestId | None,
        service: ids.ServiceName,
    ) -> stream_origin.StreamOrigin | None:
        """Return the origin of a stream, or None if it isn't known.

        request_id brought the stream's first event, if the caller names it;
        service is the one to which a new stream would go.
        """
