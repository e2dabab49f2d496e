"""Control one pool: decide on moves, write the plan, then send orders."""

import asyncio
from collections.abc import Collection, Mapping

import msgspec

from oatcrank import clock, errors, ids, logs
from oatcrank.control import (
    _observation,
    _takeover,
    control_dependencies,
    load_budget,
    move_rules,
    order_sender,
    order_times,
    plan,
    plan_store,
    pool_servers,
    received_report,
    replica_table,
    report_rules,
)
from oatcrank.placing import placement
from oatcrank.settings import control_settings

MS_PER_S = 1000
LOADING = plan.ReplicaState.loading
LOADED = plan.ReplicaState.loaded
DRAINING = plan.ReplicaState.draining
IdleReplicas = Collection[replica_table.ReplicaKey]


class PoolController:
    """Control a pool in rounds while the lease is held, in one task."""

    def __init__(
        self,
        pool: ids.PoolName,
        dependencies: control_dependencies.ControlDependencies,
        settings: control_settings.ControlSettings,
        budget: load_budget.LoadBudget,
        *,
        clock: clock.Clock,
    ) -> None:
        """Start without a plan; the first round reads it."""
        self.pool = pool
        self.plan: plan.Plan | None = None
        self._dependencies = dependencies
        self._budget = budget
        self._clock = clock
        self._period_s = settings.round_period_ms / MS_PER_S
        self._plans = plan_store.PlanStore(dependencies.store, pool)
        self._times = order_times.OrderTimes(settings, clock)
        self._servers = pool_servers.PoolServers(
            pool,
            dependencies,
            settings,
            clock,
        )
        self._sender = order_sender.OrderSender(
            dependencies,
            settings,
            self._servers,
            self._times,
            budget,
        )
        self._decided_at = clock.now()

    async def run(self) -> None:
        """Run rounds until cancelled."""
        while True:
            await self.round()
            await asyncio.sleep(self._period_s)

    def stop_sending_below(self, fence: ids.Fence) -> bool:
        """Stop sending below a fence; return whether no send is in flight."""
        return self._sender.stop_sending_below(fence)

    async def round(self) -> None:
        """Run one round if the lease is held."""
        fence = self._dependencies.lease.held_fence()
        if fence is None or not self._sender.may_send(fence):
            self._resign('the control lease is not held')
            return
        try:
            await self._run_round(fence)
        except (
            plan_store.ControllerSuperseded,
            errors.UnknownOutcome,
        ) as error:
            self._resign(str(error))
        except errors.OatcrankError as error:
            logs.event('control_round_failed', pool=self.pool, error=str(error))

    def _resign(self, reason: str) -> None:
        if self.plan is None:
            return
        logs.event('control_stopped', pool=self.pool, reason=reason)
        for replica in self.plan.replicas:
            self._budget.finish((replica.server, replica.model))
        self.plan = None
        self._servers.clear_reports()

    async def _run_round(self, fence: ids.Fence) -> None:
        self._servers.refresh_list()
        if not self._servers.is_list_known:
            return
        current_plan = self.plan
        if current_plan is None or current_plan.fence != fence:
            current_plan = await self._take_over(fence)
        current_plan = await self._remove_stopped(current_plan)
        table = replica_table.ReplicaTable(current_plan.replicas)
        idle_replicas = await self._find_idle(table)
        reports = await self._servers.read_reports(_changing_servers(table))
        rules = report_rules.ReportRules(
            table,
            self._times,
            current_plan.superseded,
            fence=fence,
            version=current_plan.version + 1,
        )
        self._apply_reports(table, rules, reports)
        self._decide(current_plan, table)
        for received in reports:
            rules.retire(
                received, idle_replicas, self._dependencies.model_needs()
            )
        current_plan = await self._write(current_plan, table)
        await self._send(current_plan, table, reports)

    async def _take_over(self, fence: ids.Fence) -> plan.Plan:
        self._resign('the lease has a new fence')
        first_plan = _takeover.plan_after_takeover(
            await self._plans.read(),
            self._dependencies.own,
            pool=self.pool,
            fence=fence,
        )
        await self._plans.write(first_plan)
        # Orders that other processes sent before this write count as sent now.
        self._times.restart()
        self._budget.delay_next_start()
        for replica in first_plan.replicas:
            if replica.state is LOADING:
                self._budget.inherit((replica.server, replica.model))
        logs.event('control_acquired', pool=self.pool, fence=fence)
        self._set_plan(first_plan)
        return first_plan

    async def _remove_stopped(self, current_plan: plan.Plan) -> plan.Plan:
        stopped = await asyncio.gather(
            *map(self._dependencies.has_stopped, current_plan.superseded),
        )
        if not any(stopped):
            return current_plan
        remaining = tuple(
            controller
            for controller, has_stopped in zip(
                current_plan.superseded,
                stopped,
                strict=True,
            )
            if not has_stopped
        )
        self._times.reset_baseline()
        new_plan = msgspec.structs.replace(
            current_plan,
            version=current_plan.version + 1,
            superseded=remaining,
        )
        await self._plans.write(new_plan)
        self._set_plan(new_plan)
        return new_plan

    async def _find_idle(
        self, table: replica_table.ReplicaTable
    ) -> IdleReplicas:
        draining = [
            replica
            for replica in table
            if replica.state is DRAINING
            and not self._servers.is_leaving(replica.server)
        ]
        replies = await asyncio.gather(
            *(
                self._dependencies.is_replica_idle(
                    replica.server, replica.model, replica.since
                )
                for replica in draining
            ),
        )
        return {
            (replica.server, replica.model)
            for replica, is_idle in zip(draining, replies, strict=True)
            if is_idle
        }

    def _apply_reports(
        self,
        table: replica_table.ReplicaTable,
        rules: report_rules.ReportRules,
        reports: tuple[received_report.ReceivedReport, ...],
    ) -> None:
        need_by_model = self._dependencies.model_needs()
        for received in reports:
            rules.apply(received, need_by_model)
        for server in table.servers():
            if server not in self._servers.instance_by_server:
                rules.drop_server(server, self._clock.now())
            elif self._servers.is_leaving(server):
                rules.drain_server(server)

    def _decide(
        self,
        current_plan: plan.Plan,
        table: replica_table.ReplicaTable,
    ) -> None:
        now = self._clock.now()
        need_by_model = self._dependencies.model_needs()
        models = self._dependencies.take_demand(need_by_model)
        report_by_server = self._servers.available_reports()
        moves = move_rules.MoveRules(
            table,
            report_by_server,
            need_by_model,
            fence=current_plan.fence,
            version=current_plan.version + 1,
        )
        moves.reserve_new_adapters()
        moves.restore_draining(_observation.waiting_by_model(models))
        free_load_slots = self._free_load_slots(table)
        observation = placement.Observation(
            now_s=now,
            since_s=self._decided_at,
            load_slots=free_load_slots,
            load_s=self._budget.load_s,
            servers=tuple(
                _hide_uncovered(
                    _observation.server_view(
                        self._servers.instance_by_server[server],
                        received,
                        table,
                    ),
                    need_by_model,
                )
                for server, received in report_by_server.items()
            ),
            models=models,
        )
        self._decided_at = now
        for move in self._dependencies.policy.decide(observation):
            is_load = move.kind is placement.MoveKind.load
            if is_load and not free_load_slots:
                continue
            if moves.apply(move) and is_load:
                free_load_slots -= 1

    def _free_load_slots(self, table: replica_table.ReplicaTable) -> int:
        planned = sum(
            replica.state is LOADING
            and not self._budget.is_started((replica.server, replica.model))
            for replica in table
        )
        return max(0, self._budget.free_slots() - planned)

    async def _write(
        self,
        current_plan: plan.Plan,
        table: replica_table.ReplicaTable,
    ) -> plan.Plan:
        if not table.changed_by_key:
            return current_plan
        new_plan = msgspec.structs.replace(
            current_plan,
            version=current_plan.version + 1,
            replicas=tuple(table),
        )
        await self._plans.write(new_plan)
        self._set_plan(new_plan)
        self._record_moves(table.changed_by_key)
        return new_plan

    def _set_plan(self, new_plan: plan.Plan) -> None:
        self.plan = new_plan
        self._dependencies.publish(new_plan)

    def _record_moves(
        self,
        changed_by_key: Mapping[replica_table.ReplicaKey, plan.Replica | None],
    ) -> None:
        for (server, model), replica in changed_by_key.items():
            state = 'dropped' if replica is None else replica.state.value
            if replica is None or replica.state is not LOADING:
                self._budget.finish((server, model))
            self._dependencies.metrics.count(f'control.move.{state}')
            logs.event(
                'move',
                pool=self.pool,
                server=server,
                model=model,
                state=state,
            )

    async def _send(
        self,
        current_plan: plan.Plan,
        table: replica_table.ReplicaTable,
        reports: tuple[received_report.ReceivedReport, ...],
    ) -> None:
        reported = {received.report.server_id for received in reports}
        unreported = {
            server
            for server, _ in table.changed_by_key
            if server in self._servers.instance_by_server
            and server not in reported
        }
        new_reports = await self._servers.query(unreported)
        await self._sender.send(current_plan, table, (*reports, *new_reports))


def _hide_uncovered(
    view: placement.ServerView,
    covered_models: Collection[ids.ModelName],
) -> placement.ServerView:
    """Hide models that no profile covers; their memory stays reserved."""
    return msgspec.structs.replace(
        view,
        loaded=tuple(model for model in view.loaded if model in covered_models),
        loading=tuple(
            model for model in view.loading if model in covered_models
        ),
        unloading=tuple(
            model for model in view.unloading if model in covered_models
        ),
    )


def _changing_servers(
    table: replica_table.ReplicaTable,
) -> Collection[ids.ServerId]:
    return {replica.server for replica in table if replica.state is not LOADED}
