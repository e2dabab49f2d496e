"""Keep a stream at the software version that began it."""

from oatcrank import ids
from oatcrank.forwarding import caller_request, event_splitter
from oatcrank.routing import server_registration, stream_origin


class ResumableStream:
    """State of a stream to which several servers may contribute."""

    def __init__(self, request: caller_request.CallerRequest) -> None:
        """Continue after the last event that the caller has."""
        self.splitter = event_splitter.EventSplitter(request.last_event_id)
        self.origin: stream_origin.StreamOrigin | None = None

    @property
    def required_version(self) -> ids.SoftwareVersion | None:
        """Return the only allowed software version, or None if any is."""
        return None if self.origin is None else self.origin.software_version

    def record_begin(
        self, registration: server_registration.Registration
    ) -> None:
        """Record the server whose event is forwarded first."""
        if self.origin is None:
            self.origin = stream_origin.StreamOrigin(
                registration.service, registration.software_version
            )
