"""Copy the origins of streams from other instances after a start.

Where each instance keeps a copy of all origins, one that has just started gets
what the others know before these stop as well, as when all are restarted in
turn.
"""

import asyncio

from oatcrank import logs
from oatcrank.cluster import (
    member,
    members,
    peers,
    shared_stream_origins,
    store_mirror,
    stream_origin_messages,
)

# Callers wait for no stream any longer.
MAX_AGE_S = 30.0
# Other instances know a registration, and copy new origins to it, by then.
REGISTRATION_KNOWN_S = 2.0
# Ages of records that may have been made until then, with some reserve.
NEW_MAX_AGE_S = 4.0
# Instances that are asked at once; more if some of them don't answer.
SOURCES = 3
ANSWER_TIMEOUT_S = 1.0
POLL_INTERVAL_S = 0.05


class StreamOriginTransfer:
    """Fetch what other instances know of the origins of streams."""

    def __init__(
        self,
        members: members.Members,
        mirror: store_mirror.StoreMirror,
        origins: shared_stream_origins.SharedStreamOrigins,
        client: peers.Client,
    ) -> None:
        """Add what others know to the origins of this instance."""
        self._members = members
        self._mirror = mirror
        self._origins = origins
        self._client = client

    async def run(self) -> None:
        """Fetch once the members are known, and what was recorded meanwhile."""
        while not self._mirror.is_current:  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL_S)
        await self._fetch(MAX_AGE_S)
        await asyncio.sleep(REGISTRATION_KNOWN_S)
        await self._fetch(NEW_MAX_AGE_S)

    async def _fetch(self, max_age_s: float) -> None:
        """Fetch from some instances, first from those that run the longest."""
        others = sorted(
            self._members.others(), key=lambda other: other.started_ms
        )
        if len(others) > shared_stream_origins.COPIES:
            # Each keeps a small part of the origins.
            return
        query = stream_origin_messages.OriginsQuery(max_age_s=max_age_s)
        missing = SOURCES
        while others and missing:
            asked, others = others[:missing], others[missing:]
            answered = await asyncio.gather(
                *(self._fetch_from(other, query) for other in asked)
            )
            missing -= sum(answered)

    async def _fetch_from(
        self, other: member.Member, query: stream_origin_messages.OriginsQuery
    ) -> bool:
        """Add what another instance knows; return whether it has answered."""
        try:
            known = await self._client.send(
                other.peer_address,
                stream_origin_messages.ORIGINS_NAME,
                query,
                stream_origin_messages.KnownOrigins,
                ANSWER_TIMEOUT_S,
            )
        except peers.PeerUnreachable as error:
            logs.event(
                'stream_origins_not_fetched',
                member=other.instance_id,
                error=error,
            )
            return False
        logs.event(
            'stream_origins_fetched',
            member=other.instance_id,
            added=self._origins.add_known(known),
        )
        return True
