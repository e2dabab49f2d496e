"""Remember the origins of recent streams."""

import itertools
from collections.abc import Iterable

from oatcrank import ids
from oatcrank.routing import stream_origin

# Longer than any caller waits for a stream, with its retries.
STREAM_LIFETIME_S = 60.0
MAX_STREAMS = 65536
# Streams that are copied to an instance that has just started.
MAX_COPIED_STREAMS = 16384
MAX_SHARED_ORIGINS = 1024


class StreamOriginTable:
    """Origins by the id of the request that brought a stream's first event."""

    def __init__(self) -> None:
        """Start without streams."""
        # The oldest entry comes first, but for those that were copied later;
        # times are monotonic, in seconds.
        self._entry_by_id: dict[
            ids.RequestId, tuple[float, stream_origin.StreamOrigin]
        ] = {}
        self._shared_origins: dict[
            stream_origin.StreamOrigin, stream_origin.StreamOrigin
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
        if request_id not in self._entry_by_id:
            self._entry_by_id[request_id] = (now_s, self._shared(origin))

    def find(
        self, request_id: ids.RequestId, now_s: float
    ) -> stream_origin.StreamOrigin | None:
        """Return the origin of a stream, or None if it isn't known."""
        self._drop_expired(now_s)
        entry = self._entry_by_id.get(request_id)
        return None if entry is None else entry[1]

    def recent(
        self, max_age_s: float, now_s: float
    ) -> tuple[stream_origin.RecentStreams, ...]:
        """Return the streams recorded within a time, the newest first."""
        streams_by_origin: dict[
            stream_origin.StreamOrigin, stream_origin.RecentStreams
        ] = {}
        newest_first = itertools.islice(
            reversed(self._entry_by_id.items()), MAX_COPIED_STREAMS
        )
        for request_id, (recorded_s, origin) in newest_first:
            age_s = now_s - recorded_s
            if age_s <= max_age_s:
                streams = streams_by_origin.setdefault(
                    origin, stream_origin.RecentStreams(origin, {})
                )
                streams.age_s_by_id[request_id] = round(age_s, 1)
        return tuple(streams_by_origin.values())

    def add(
        self, streams: Iterable[stream_origin.RecentStreams], now_s: float
    ) -> int:
        """Remember streams that another instance knows; return how many."""
        known = len(self)
        for recent in streams:
            for request_id, age_s in recent.age_s_by_id.items():
                self.record(request_id, recent.origin, now_s - age_s)
        return len(self) - known

    def _shared(
        self, origin: stream_origin.StreamOrigin
    ) -> stream_origin.StreamOrigin:
        """Return one object for equal origins, which take memory only once."""
        if len(self._shared_origins) >= MAX_SHARED_ORIGINS:
            self._shared_origins.clear()
        return self._shared_origins.setdefault(origin, origin)

    def _drop_expired(self, now_s: float) -> None:
        while self._entry_by_id:
            oldest_id = next(iter(self._entry_by_id))
            recorded_s, _ = self._entry_by_id[oldest_id]
            is_expired = now_s - recorded_s > STREAM_LIFETIME_S
            if not is_expired and len(self._entry_by_id) < MAX_STREAMS:
                return
            del self._entry_by_id[oldest_id]
