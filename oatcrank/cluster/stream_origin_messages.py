"""Define the messages about what began a stream."""

import msgspec

from oatcrank import ids
from oatcrank.routing import stream_origin

# Name of the message that asks for all origins.
ORIGINS_NAME = 'stream-origins'


class OriginQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Ask what began a stream that a caller takes up again.

    request_id brought its first event; service is where a new one would go.
    """

    request_id: ids.RequestId | None
    service: ids.ServiceName


class OriginAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Report what an instance knows of a stream.

    versions lists the software versions that the service has had lately.
    """

    origin: stream_origin.StreamOrigin | None
    versions: tuple[ids.SoftwareVersion, ...]


class OriginsQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for the origins of all streams that began lately."""

    max_age_s: float


class KnownOrigins(msgspec.Struct, frozen=True, kw_only=True):
    """Report the origins of streams, with the ages of their records."""

    streams: tuple[stream_origin.RecentStreams, ...]
