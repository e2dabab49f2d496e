"""Share the origins of streams among instances.

A caller takes a stream up at any instance, often because the one that began it
has ended. So each origin is copied to other instances before the caller sees
the first event: to all of a few, so that one that is left after a loss of power
knows it. An instance that stops is told and asked like any other.

An origin that no instance knows is assumed only if the service has had a single
software version while any stream that goes on may have begun, by a copy of the
store that is compared with it then: an instance that was cut off or suspended
may not know yet that servers of another version have come.
"""

import asyncio
import time
from collections.abc import Iterable

from oatcrank import ids, logs
from oatcrank.cluster import (
    datagram_endpoint,
    datagram_messages,
    member,
    members,
    peers,
    stream_origin_messages,
    version_records,
)
from oatcrank.forwarding import stream_origins
from oatcrank.routing import stream_origin, stream_origin_table

# Instances that receive a copy of an origin, besides the one that began it, and
# that are asked for it.
COPIES = 8
# Ready instances that confirm which versions a service has had.
CONFIRMING_INSTANCES = 4
# Callers of a stream wait two seconds or more for its next event.
ANSWER_TIMEOUT_S = 0.3


_AnswerById = dict[ids.InstanceId, stream_origin_messages.OriginAnswer]


class SharedStreamOrigins(stream_origins.StreamOrigins):
    """Copy origins to other instances, and ask them for unknown ones."""

    def __init__(
        self,
        members: members.Members,
        versions: version_records.VersionRecords,
        endpoint: datagram_endpoint.DatagramEndpoint,
        client: peers.Client,
    ) -> None:
        """Share origins among the members."""
        self._members = members
        self._versions = versions
        self._endpoint = endpoint
        self._client = client
        self._table = stream_origin_table.StreamOriginTable()
        endpoint.set_handler(datagram_messages.OriginCopy, self._handle_copy)

    def record(
        self, request_id: ids.RequestId, origin: stream_origin.StreamOrigin
    ) -> None:
        """Record the origin of a stream that begins at this instance."""
        self._table.record(request_id, origin, time.monotonic())
        copy = datagram_messages.OriginCopy(request_id, origin)
        for other in self._members.ranked_others(request_id, COPIES):
            self._endpoint.send(copy, other.datagram_address)

    async def find(
        self,
        request_id: ids.RequestId | None,
        service: ids.ServiceName,
    ) -> stream_origin.StreamOrigin | None:
        """Return the origin of a stream, or None if it isn't known."""
        query = stream_origin_messages.OriginQuery(
            request_id=request_id, service=service
        )
        own = self.answer(query)
        if own.origin is not None:
            return own.origin
        if request_id is None and await self._versions.catch_up():
            return _assumed_origin(service, [self.answer(query)])
        answer_by_id = await self._ask_others(query)
        for answer in answer_by_id.values():
            if answer.origin is not None:
                self._remember(request_id, answer.origin)
                return answer.origin
        return await self._assume_origin(query, answer_by_id)

    async def _assume_origin(
        self,
        query: stream_origin_messages.OriginQuery,
        answer_by_id: _AnswerById,
    ) -> stream_origin.StreamOrigin | None:
        """Return the origin if there has been a single version for certain."""
        is_caught_up = (
            query.request_id is not None and await self._versions.catch_up()
        )
        # If the store is away for all, no instance learns of new servers. One
        # that does not answer may be the only one that still reaches it.
        confirming = self._confirming_instances(query)
        all_answered = confirming and all(
            other.instance_id in answer_by_id for other in confirming
        )
        if not (is_caught_up or all_answered):
            return None
        return _assumed_origin(
            query.service, [self.answer(query), *answer_by_id.values()]
        )

    def answer(
        self, query: stream_origin_messages.OriginQuery
    ) -> stream_origin_messages.OriginAnswer:
        """Return what this instance knows of a stream."""
        origin = (
            None
            if query.request_id is None
            else self._table.find(query.request_id, time.monotonic())
        )
        return stream_origin_messages.OriginAnswer(
            origin=origin,
            versions=tuple(self._versions.recent_versions(query.service)),
        )

    def answer_recent(
        self, query: stream_origin_messages.OriginsQuery
    ) -> stream_origin_messages.KnownOrigins:
        """Return what this instance knows of all recent streams."""
        return stream_origin_messages.KnownOrigins(
            streams=self._table.recent(query.max_age_s, time.monotonic())
        )

    def add_known(self, known: stream_origin_messages.KnownOrigins) -> int:
        """Remember what another instance knows; return how much is new."""
        return self._table.add(known.streams, time.monotonic())

    def _handle_copy(self, copy: datagram_messages.OriginCopy, _: str) -> None:
        self._remember(copy.request_id, copy.origin)

    def _remember(
        self,
        request_id: ids.RequestId | None,
        origin: stream_origin.StreamOrigin,
    ) -> None:
        if request_id is not None:
            self._table.record(request_id, origin, time.monotonic())

    def _confirming_instances(
        self, query: stream_origin_messages.OriginQuery
    ) -> list[member.Member]:
        """Return the ready instances that confirm the versions of a service."""
        ranked = self._members.ranked(_key(query), CONFIRMING_INSTANCES + 1)
        others = [other for other in ranked if other is not self._members.own]
        return others[:CONFIRMING_INSTANCES]

    async def _ask_others(
        self, query: stream_origin_messages.OriginQuery
    ) -> _AnswerById:
        """Return the answers up to the first that has the origin."""
        others = [
            *self._members.ranked_others(_key(query), COPIES),
            *self._confirming_instances(query),
        ]
        other_by_id = {other.instance_id: other for other in others}
        tasks = [
            asyncio.ensure_future(self._ask(other, query))
            for other in other_by_id.values()
        ]
        answer_by_id: _AnswerById = {}
        try:
            for next_answer in asyncio.as_completed(tasks):
                instance_id, answer = await next_answer
                if answer is not None:
                    answer_by_id[instance_id] = answer
                if answer is not None and answer.origin is not None:
                    break
        finally:
            for task in tasks:
                task.cancel()
        return answer_by_id

    async def _ask(
        self,
        other: member.Member,
        query: stream_origin_messages.OriginQuery,
    ) -> tuple[ids.InstanceId, stream_origin_messages.OriginAnswer | None]:
        """Return the answer of an instance, None if it was not reached."""
        try:
            answer = await self._client.send(
                other.peer_address,
                'stream-origin',
                query,
                stream_origin_messages.OriginAnswer,
                ANSWER_TIMEOUT_S,
            )
        except peers.PeerUnreachable as error:
            logs.event(
                'stream_origin_query_failed',
                request=query.request_id,
                member=other.instance_id,
                error=error,
            )
            return other.instance_id, None
        return other.instance_id, answer


def _key(query: stream_origin_messages.OriginQuery) -> str:
    return query.request_id or query.service


def _assumed_origin(
    service: ids.ServiceName,
    answers: Iterable[stream_origin_messages.OriginAnswer],
) -> stream_origin.StreamOrigin | None:
    """Return the origin if all answers together know a single version."""
    versions = {version for answer in answers for version in answer.versions}
    if len(versions) != 1:
        return None
    return stream_origin.StreamOrigin(service, versions.pop())
