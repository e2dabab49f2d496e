"""Ask the instance that grants the exclusive runs of a server."""

import uuid

import msgspec

from oatcrank import errors, ids, logs, rpc
from oatcrank.entry import exclusive_run, exclusive_run_table, exclusive_runs
from oatcrank.membership import member, members, rendezvous

BEGIN_PATH = '/internal/exclusive-runs/begin'
END_PATH = '/internal/exclusive-runs/end'
TIMEOUT_S = 0.5
# Instances that are asked, in the order in which all instances rank them.
MAX_ASKED = 2


class Reply(msgspec.Struct, frozen=True):
    """Whether a run may begin, or has ended."""

    granted: bool


class SharedExclusiveRuns(exclusive_runs.ExclusiveRuns):
    """Share the runs among the instances: each grants those of some servers.

    A run begins without permission if no instance answers: then an innocent
    request may be refused with the one that crashes servers.
    """

    def __init__(
        self,
        table: exclusive_run_table.ExclusiveRunTable,
        members: members.Members,
        client: rpc.Rpc,
    ) -> None:
        """Grant the runs of the own servers by a table."""
        self._table = table
        self._members = members
        self._client = client

    async def begin(
        self, server: ids.ServerId, duration_s: float
    ) -> exclusive_run.ExclusiveRun | None:
        """Return a run of at most duration_s; None while another goes on."""
        run = exclusive_run.ExclusiveRun(
            server=server, holder=uuid.uuid4().hex, duration_s=duration_s
        )
        for owner in self._owners(server):
            if owner.instance_id == self._members.own.instance_id:
                return run if self._table.begin(run) else None
            reply = await self._send(owner, BEGIN_PATH, run)
            if reply is not None:
                return run if reply.granted else None
        return run

    async def end(self, run: exclusive_run.ExclusiveRun) -> None:
        """End a run, so that the next one may begin."""
        for owner in self._owners(run.server):
            if owner.instance_id == self._members.own.instance_id:
                self._table.end(run)
            else:
                await self._send(owner, END_PATH, run)

    async def _send(
        self,
        owner: member.Member,
        path: str,
        run: exclusive_run.ExclusiveRun,
    ) -> Reply | None:
        try:
            return await self._client.post(
                owner.address, path, run, Reply, timeout_s=TIMEOUT_S
            )
        except (errors.PlatformError, rpc.RpcStatusError) as error:
            logs.event(
                'exclusive_run_not_answered',
                owner=owner.instance_id,
                server=run.server,
                error=error,
            )
            return None

    def _owners(self, server: ids.ServerId) -> list[member.Member]:
        member_by_id = {
            alive.instance_id: alive
            for alive in self._members.alive()
            if not alive.leaving
        }
        ranked_ids = rendezvous.ranked(server, member_by_id)
        return [
            member_by_id[ids.InstanceId(instance_id)]
            for instance_id in ranked_ids[:MAX_ASKED]
        ]
