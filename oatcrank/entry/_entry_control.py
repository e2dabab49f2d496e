"""Assemble pool control on an entry instance."""

from typing import Any

from oatcrank.control import (
    control_handlers,
    control_peers,
    demand_sender,
    demand_totals,
    idle_query,
    lease,
    plan,
    plan_codec,
    pool_manager,
    pool_manager_dependencies,
)
from oatcrank.entry import _entry_platform, _entry_serving, serving_dependencies
from oatcrank.membership import document
from oatcrank.placing import policy_factory

PLAN_PREFIX = 'plan/'
LEASE_KEY = 'leases/control'
MS_PER_S = 1000


class EntryControl:
    """Hold the controllers, their lease and the exchange of demand."""

    def __init__(
        self,
        platform: _entry_platform.EntryPlatform,
        dependencies: serving_dependencies.ServingDependencies,
    ) -> None:
        """Set up; nothing is controlled before the tasks run."""
        self.plans = dependencies.plans
        self._platform = platform
        self._serving = dependencies
        self.lease = _lease(platform)
        self.demand_totals = demand_totals.DemandTotals(
            platform.clock,
            first_token_s=platform.profile_index.first_token_s,
            weight=platform.profile_index.weight,
        )
        self.demand_sender = demand_sender.DemandSender(
            queue=dependencies.queue,
            plans=self.plans,
            members=platform.membership,
            client=platform.rpc,
            record_locally=self.demand_totals.add_report,
        )
        self.pool_manager = pool_manager.PoolManager(self._dependencies())
        platform.documents.add_listener(PLAN_PREFIX, self._on_plan_document)
        self.plans.add_listener(lambda _: dependencies.queue.assign_waiting())

    def routes(self) -> list[Any]:
        """Return the routes between controllers and entry instances."""
        return control_handlers.routes(
            demand_totals=self.demand_totals,
            lease=self.lease,
            is_idle_here=self.is_idle_here,
            pool_manager=self.pool_manager,
            members=self._platform.membership,
        )

    def is_idle_here(self, query: idle_query.IdleQuery) -> bool:
        """Return whether no request of this instance uses a replica.

        An instance that has an older plan may still send requests to it.
        """
        if self.plans.version(query.pool) < query.version:
            return False
        return self._serving.queue.is_idle(query.server, query.model)

    def _dependencies(
        self,
    ) -> pool_manager_dependencies.PoolManagerDependencies:
        platform = self._platform
        settings = platform.settings
        return pool_manager_dependencies.PoolManagerDependencies(
            settings=settings,
            clock=platform.clock,
            store=platform.store,
            weight_store=platform.weight_store,
            lease=self.lease,
            servers=platform.servers,
            members=platform.membership,
            control_peers=control_peers.ControlPeers(
                members=platform.membership,
                client=platform.rpc,
                engine_of=lambda listed: _entry_serving.engine_at(
                    platform,
                    listed.address,
                ),
                is_idle_here=self.is_idle_here,
                is_former_entry=platform.servers.is_former_entry,
            ),
            demand_totals=self.demand_totals,
            profile_index=platform.profile_index,
            metrics=platform.metrics,
            publish=self._publish,
            new_policy=lambda: policy_factory.create(settings.policy),
        )

    def _publish(self, new_plan: plan.Plan) -> None:
        self._platform.documents.put(
            f'{PLAN_PREFIX}{new_plan.pool}',
            new_plan.version,
            plan_codec.encode(new_plan),
        )

    def _on_plan_document(self, received: document.Document) -> None:
        self.plans.update(plan_codec.decode(received.text))


def _lease(platform: _entry_platform.EntryPlatform) -> lease.Lease:
    own = platform.membership.own
    return lease.Lease(
        platform.store,
        LEASE_KEY,
        holder=own.instance_id,
        incarnation=own.incarnation,
        term_s=platform.settings.control.lease_term_ms / MS_PER_S,
        clock=platform.clock,
    )
