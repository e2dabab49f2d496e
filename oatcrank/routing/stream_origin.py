"""Define what began a stream."""

import msgspec

from oatcrank import ids


class StreamOrigin(msgspec.Struct, frozen=True):
    """Service and software version of the server that began a stream.

    What two software versions write does not fit together, so a stream may
    continue only on servers of this version.
    """

    service: ids.ServiceName
    software_version: ids.SoftwareVersion


class RecentStreams(msgspec.Struct, frozen=True):
    """Streams of one origin, and how long ago each was recorded."""

    origin: StreamOrigin
    age_s_by_id: dict[ids.RequestId, float]
