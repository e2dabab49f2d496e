"""Query the other entry instances on behalf of a controller."""

import asyncio
from collections.abc import Callable

from oatcrank import errors, ids, rpc
from oatcrank.control import (
    idle_query,
    superseded_controller,
    superseded_reply,
)
from oatcrank.engines import engine
from oatcrank.membership import instance_list, member, members

TIMEOUT_S = 1.0
IDLE_PATH = '/internal/idle'
SUPERSEDED_PATH = '/internal/deposed'

EngineOf = Callable[[instance_list.Instance], engine.ModelEngine]
IsIdle = Callable[[idle_query.IdleQuery], bool]
IsFormerEntry = Callable[[str], bool]


class ControlPeers:
    """Query the live instances; an unknown answer counts as False."""

    def __init__(
        self,
        *,
        members: members.Members,
        client: rpc.Rpc,
        engine_of: EngineOf,
        is_idle_here: IsIdle,
        is_former_entry: IsFormerEntry,
    ) -> None:
        """Use is_idle_here as the answer of this instance.

        is_former_entry returns whether an instance was in the platform's list
        and no longer is.  The list lags, so an instance that was never listed
        may still run.
        """
        self.engine_of = engine_of
        self._members = members
        self._client = client
        self._is_idle_here = is_idle_here
        self._is_former_entry = is_former_entry

    async def is_idle(
        self,
        pool: ids.PoolName,
        server: ids.ServerId,
        model: ids.ModelName,
        version: int,
    ) -> bool:
        """Return whether no live instance uses a replica any more."""
        query = idle_query.IdleQuery(
            pool=pool,
            version=version,
            server=server,
            model=model,
        )
        if not self._is_idle_here(query):
            return False
        answers = await asyncio.gather(
            *(
                self._is_peer_idle(peer, query)
                for peer in self._other_members()
            ),
        )
        return all(answers)

    async def has_stopped(
        self, superseded: superseded_controller.SupersededController
    ) -> bool:
        """Return whether an earlier controller can send no more orders."""
        if superseded.controller == self._members.own.instance_id:
            return superseded.incarnation < self._members.own.incarnation
        for peer in self._other_members():
            if peer.instance_id == superseded.controller:
                return await self._has_peer_stopped(peer, superseded)
        return self._is_former_entry(superseded.controller)

    def _other_members(self) -> list[member.Member]:
        own_id = self._members.own.instance_id
        return [
            peer for peer in self._members.alive() if peer.instance_id != own_id
        ]

    async def _is_peer_idle(
        self,
        peer: member.Member,
        query: idle_query.IdleQuery,
    ) -> bool:
        try:
            reply = await self._client.post(
                peer.address,
                IDLE_PATH,
                query,
                idle_query.IdleReply,
                timeout_s=TIMEOUT_S,
            )
        except errors.OatcrankError:
            return False
        return reply.idle

    async def _has_peer_stopped(
        self,
        peer: member.Member,
        superseded: superseded_controller.SupersededController,
    ) -> bool:
        try:
            reply = await self._client.post(
                peer.address,
                SUPERSEDED_PATH,
                superseded,
                superseded_reply.SupersededReply,
                timeout_s=TIMEOUT_S,
            )
        except errors.OatcrankError:
            return False
        if reply.instance_id != superseded.controller:
            return False
        if reply.incarnation != superseded.incarnation:
            return reply.incarnation > superseded.incarnation
        return reply.stopped
