"""Control one pool: decide, write the plan, then send orders."""

import asyncio
from collections.abc import Collection, Mapping

import msgspec

from oatcrank import clock, errors, ids, logs
from oatcrank.control import (
    _observing,
    _takeover,
    control_ports,
    load_budget,
    move_rules,
    order_sender,
    order_times,
    plan,
    plan_store,
    pool_servers,
    replica_table,
    report_rules,
    seen_report,
)
from oatcrank.placing import placement
from oatcrank.settings import control_settings

MS_PER_S = 1000
LOADING = plan.ReplicaState.loading
LOADED = plan.ReplicaState.loaded
DRAINING = plan.ReplicaState.draining
Idle = Collection[replica_table.ReplicaKey]


class PoolController:
    """Work in rounds while the lease is held; one task runs one object."""

    def __init__(
        self,
        pool: ids.PoolName,
        ports: control_ports.ControlPorts,
        settings: control_settings.ControlSettings,
        budget: load_budget.LoadBudget,
        *,
        time_source: clock.Clock,
    ) -> None:
        """Control nothing before the first round."""
        self.pool = pool
        self.plan: plan.Plan | None = None
        self._ports = ports
        self._budget = budget
        self._clock = time_source
        self._period_s = settings.round_period_ms / MS_PER_S
        self._plans = plan_store.PlanStore(ports.store, pool)
        self._times = order_times.OrderTimes(settings, time_source)
        self._servers = pool_servers.PoolServers(
            pool,
            ports,
            settings,
            time_source,
        )
        self._sender = order_sender.OrderSender(
            ports,
            settings,
            self._servers,
            self._times,
            budget,
        )
        self._decided = time_source.now()

    async def run(self) -> None:
        """Work until cancelled."""
        while True:
            await self.round()
            await asyncio.sleep(self._period_s)

    def depose(self, fence: ids.Fence) -> bool:
        """Stop below a fence; return whether no send is under way."""
        return self._sender.stop_below(fence)

    async def round(self) -> None:
        """Do one round's work if the lease is held."""
        fence = self._ports.lease.held()
        if fence is None or not self._sender.may_send(fence):
            self._resign('lease')
            return
        try:
            await self._work(fence)
        except (plan_store.Deposition, errors.UnknownOutcome) as error:
            self._resign(str(error))
        except errors.OatcrankError as error:
            logs.event('control_round_failed', pool=self.pool, error=str(error))

    def _resign(self, reason: str) -> None:
        if self.plan is None:
            return
        logs.event('control_resigned', pool=self.pool, reason=reason)
        for replica in self.plan.replicas:
            self._budget.finish((replica.server, replica.model))
        self.plan = None
        self._servers.forget()

    async def _work(self, fence: ids.Fence) -> None:
        self._servers.look()
        if not self._servers.is_known:
            return
        written = self.plan
        if written is None or written.fence != fence:
            written = await self._take_over(fence)
        written = await self._hear_deposed(written)
        table = replica_table.ReplicaTable(written.replicas)
        idle = await self._idle(table)
        seen = await self._servers.read(_busy(table))
        rules = report_rules.ReportRules(
            table,
            self._times,
            written.former,
            fence=fence,
            version=written.version + 1,
        )
        self._follow(table, rules, seen)
        self._decide(written, table)
        for report in seen:
            rules.retire(report, idle, self._ports.needs())
        written = await self._write(written, table)
        await self._send(written, table, seen)

    async def _take_over(self, fence: ids.Fence) -> plan.Plan:
        self._resign('fence')
        taken = _takeover.takeover(
            await self._plans.read(),
            self._ports.this,
            pool=self.pool,
            fence=fence,
        )
        await self._plans.write(taken)
        # What others sent before this write counts as sent at this moment.
        self._times.restart()
        self._budget.pause()
        for replica in taken.replicas:
            if replica.state is LOADING:
                self._budget.inherit((replica.server, replica.model))
        logs.event('control_taken', pool=self.pool, fence=fence)
        self._commit(taken)
        return taken

    async def _hear_deposed(self, written: plan.Plan) -> plan.Plan:
        stopped = await asyncio.gather(
            *map(self._ports.has_stopped, written.former),
        )
        if not any(stopped):
            return written
        remaining = tuple(
            former
            for former, has_stopped in zip(
                written.former,
                stopped,
                strict=True,
            )
            if not has_stopped
        )
        self._times.quieten()
        heard = msgspec.structs.replace(
            written,
            version=written.version + 1,
            former=remaining,
        )
        await self._plans.write(heard)
        self._commit(heard)
        return heard

    async def _idle(self, table: replica_table.ReplicaTable) -> Idle:
        draining = [
            replica
            for replica in table
            if replica.state is DRAINING
            and not self._servers.is_leaving(replica.server)
        ]
        answers = await asyncio.gather(
            *(
                self._ports.idle(replica.server, replica.model, replica.since)
                for replica in draining
            ),
        )
        return {
            (replica.server, replica.model)
            for replica, is_idle in zip(draining, answers, strict=True)
            if is_idle
        }

    def _follow(
        self,
        table: replica_table.ReplicaTable,
        rules: report_rules.ReportRules,
        reports: tuple[seen_report.SeenReport, ...],
    ) -> None:
        need_by_model = self._ports.needs()
        for seen in reports:
            rules.apply(seen, need_by_model)
        for server in table.servers():
            if server not in self._servers.listed:
                rules.drop(server, self._clock.now())
            elif self._servers.is_leaving(server):
                rules.leave(server)

    def _decide(
        self,
        written: plan.Plan,
        table: replica_table.ReplicaTable,
    ) -> None:
        now = self._clock.now()
        need_by_model = self._ports.needs()
        models = self._ports.demand(need_by_model)
        open_servers = self._servers.open()
        moves = move_rules.MoveRules(
            table,
            open_servers,
            need_by_model,
            fence=written.fence,
            version=written.version + 1,
        )
        moves.grow()
        moves.keep_wanted(_observing.waiting_by_model(models))
        slots = self._slots(table)
        observed = placement.Observation(
            now_s=now,
            since_s=self._decided,
            load_slots=slots,
            load_s=self._budget.load_s,
            servers=tuple(
                _without_unwanted(
                    _observing.server_view(
                        self._servers.listed[server],
                        seen,
                        table,
                    ),
                    need_by_model,
                )
                for server, seen in open_servers.items()
            ),
            models=models,
        )
        self._decided = now
        for move in self._ports.policy.decide(observed):
            is_load = move.kind is placement.MoveKind.load
            if is_load and not slots:
                continue
            if moves.admit(move) and is_load:
                slots -= 1

    def _slots(self, table: replica_table.ReplicaTable) -> int:
        planned = sum(
            replica.state is LOADING
            and not self._budget.is_started((replica.server, replica.model))
            for replica in table
        )
        return max(0, self._budget.slots() - planned)

    async def _write(
        self,
        written: plan.Plan,
        table: replica_table.ReplicaTable,
    ) -> plan.Plan:
        if not table.put_by_key:
            return written
        changed = msgspec.structs.replace(
            written,
            version=written.version + 1,
            replicas=tuple(table),
        )
        await self._plans.write(changed)
        self._commit(changed)
        self._tell(table.put_by_key)
        return changed

    def _commit(self, written: plan.Plan) -> None:
        self.plan = written
        self._ports.publish(written)

    def _tell(
        self,
        put_by_key: Mapping[replica_table.ReplicaKey, plan.Replica | None],
    ) -> None:
        for (server, model), replica in put_by_key.items():
            state = 'dropped' if replica is None else replica.state.value
            if replica is None or replica.state is not LOADING:
                self._budget.finish((server, model))
            self._ports.metrics.count(f'control.move.{state}')
            logs.event(
                'move',
                pool=self.pool,
                server=server,
                model=model,
                state=state,
            )

    async def _send(
        self,
        written: plan.Plan,
        table: replica_table.ReplicaTable,
        seen: tuple[seen_report.SeenReport, ...],
    ) -> None:
        read = {report.report.server_id for report in seen}
        new = {
            server
            for server, _ in table.put_by_key
            if server in self._servers.listed and server not in read
        }
        fresh = await self._servers.ask(new)
        await self._sender.send(written, table, (*seen, *fresh))


def _without_unwanted(
    view: placement.ServerView,
    wanted: Collection[ids.ModelName],
) -> placement.ServerView:
    """Hide models that no profile covers; their memory stays taken."""
    return msgspec.structs.replace(
        view,
        loaded=tuple(model for model in view.loaded if model in wanted),
        loading=tuple(model for model in view.loading if model in wanted),
        unloading=tuple(model for model in view.unloading if model in wanted),
    )


def _busy(table: replica_table.ReplicaTable) -> Collection[ids.ServerId]:
    return {replica.server for replica in table if replica.state is not LOADED}
