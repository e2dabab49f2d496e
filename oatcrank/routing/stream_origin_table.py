"""Remember the origins of recent streams."""

from oatcrank import ids
from oatcrank.routing import stream_origin

# Longer than any caller waits for a stream, with its retries.
STREAM_LIFETIME_S = 60.0
MAX_STREAMS = 65536


class StreamOriginTable:
    """Origins by the id of the request that brought a stream's first event."""

    def __init__(self) -> None:
        """Start without streams."""
        # The oldest entry comes first; times are monotonic, in seconds.
        self._entry_by_id: dict[
            ids.RequestId, tuple[float, stream_origin.StreamOrigin]
        ] = {}

    def __len__(self) -> int:
        """Return the number of remembered streams."""
        return len(self._entry_by_id)

    def record(
        self,
        request_id: ids.RequestId,
        origin: stream_origin.StreamOrigin,
        now_s: float,
    ) -> None:
        """Remember an origin; the first one recorded for an id stays."""
        self._drop_expired(now_s)
        self._entry_by_id.setdefault(request_id, (now_s, origin))

    def find(
        self, request_id: ids.RequestId, now_s: float
    ) -> stream_origin.StreamOrigin | None:
        """Return the origin of a stream, or None if it isn't known."""
        self._drop_expired(now_s)
        entry = self._entry_by_id.get(request_id)
        return None if entry is None else entry[1]

    def _drop_expired(self, now_s: float) -> None:
        while self._entry_by_id:
            oldest_id = next(iter(self._entry_by_id))
            recorded_s, _ = self._entry_by_id[oldest_id]
            is_expired = now_s - recorded_s > STREAM_LIFETIME_S
            if not is_expired and len(self._entry_by_id) < MAX_STREAMS:
                return
            del self._entry_by_id[oldest_id]
