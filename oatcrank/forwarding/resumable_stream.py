"""Keep a stream at the software version that began it."""

from oatcrank import ids
from oatcrank.forwarding import (
    caller_request,
    crash_guard,
    event_splitter,
    refusal,
    request_dependencies,
    request_metrics,
    stream_head,
)
from oatcrank.routing import route, server_registration, stream_origin
from oatcrank.transport import message

UNKNOWN_ORIGIN_RETRY_S = 0.5


class ResumableStream:
    """State of a stream to which several servers may contribute."""

    def __init__(
        self,
        dependencies: request_dependencies.RequestDependencies,
        request: caller_request.CallerRequest,
        request_route: route.Route,
        identity: crash_guard.RequestIdentity,
    ) -> None:
        """Continue after the last event that the caller has."""
        self.identity = identity
        self._dependencies = dependencies
        self._request = request
        self._route = request_route
        self.splitter = event_splitter.EventSplitter(request.last_event_id)
        self.origin: stream_origin.StreamOrigin | None = None
        self._begun_status: int | None = None

    @property
    def required_version(self) -> ids.SoftwareVersion | None:
        """Return the only allowed software version, or None if any is."""
        return None if self.origin is None else self.origin.software_version

    @property
    def can_continue(self) -> bool:
        """Return whether another run can follow what the caller has."""
        return self._begun_status is not None and self.splitter.ends_with_id

    def begin_answer(self, head: message.ResponseHead) -> str | None:
        """Prepare to read the answer of another server.

        Return why it can't continue the stream that has begun, or None.
        """
        begun = self._begun_status is not None
        self.splitter.begin_run(continues=begun)
        if not begun or (
            head.status == self._begun_status and stream_head.is_stream(head)
        ):
            return None
        return f'an answer with {head.status} that is not the same stream'

    async def find_origin(self, service: ids.ServiceName) -> None:
        """Find the origin if the caller takes the stream up again.

        Raises refusal.RequestRefused if it isn't known, or if the route no
        longer leads to the service that began the stream.
        """
        if self._request.last_event_id is None or not self._route.resumable:
            return
        self.origin = await self._dependencies.stream_origins.find(
            self._request.resumed_id, service
        )
        request_metrics.TAKEN_UP_STREAMS.labels(
            service, 'unknown' if self.origin is None else 'known'
        ).inc()
        if self.origin is None:
            raise refusal.RequestRefused(
                'the software version that began the stream is not known',
                UNKNOWN_ORIGIN_RETRY_S,
            )
        services = {share.service for share in self._route.shares}
        if self.origin.service not in services:
            raise refusal.RequestRefused(
                'the route no longer leads to the service of the stream',
                UNKNOWN_ORIGIN_RETRY_S,
            )

    def record_begin(
        self,
        head: message.ResponseHead,
        registration: server_registration.Registration,
    ) -> None:
        """Record the server whose event is forwarded first."""
        if self._begun_status is None:
            self._begun_status = head.status
        if self.origin is not None:
            return
        self.origin = stream_origin.StreamOrigin(
            registration.service, registration.software_version
        )
        if self._route.resumable:
            self._dependencies.stream_origins.record(
                self._request.request_id, self.origin
            )
