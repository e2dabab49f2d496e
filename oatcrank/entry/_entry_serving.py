"""Assemble the data path of an entry instance."""

import dataclasses

import msgspec

from oatcrank import decoding, ids
from oatcrank.claims import at_most_once_runner, claims
from oatcrank.control import plan, plan_view
from oatcrank.engines import adapter_loader, backend_server, engine, engine_http
from oatcrank.entry import (
    _entry_platform,
    answer_memory,
    crash_suspects,
    dispatch_queue,
    exclusive_run_table,
    model_dispatcher,
    retry_budget,
    router,
    service_dispatcher,
    serving_dependencies,
    shared_exclusive_runs,
)
from oatcrank.membership import document

SUSPECTS_PREFIX = 'suspects/'
MS_PER_S = 1000
# Document versions must increase across restarts, so they start at
# incarnation * VERSIONS_PER_START.
VERSIONS_PER_START = 1_000_000


def build(
    platform: _entry_platform.EntryPlatform,
) -> serving_dependencies.ServingDependencies:
    """Return the dependencies of the caller handlers."""
    settings = platform.settings
    plans = plan_view.PlanView()
    server_router = router.Router(
        failure_domain=settings.failure_domain,
        seed=platform.membership.own.incarnation,
    )
    queue = dispatch_queue.DispatchQueue(
        servers_of=_ReplicaServers(plans, platform).of_model,
        router=server_router,
        clock=platform.clock,
        queue_limit=settings.limits.queued_per_model,
    )
    table = exclusive_run_table.ExclusiveRunTable(platform.clock)
    common = {
        'suspects': _suspects(platform),
        'exclusive_runs': shared_exclusive_runs.SharedExclusiveRuns(
            table, platform.membership, platform.rpc
        ),
        'budget': retry_budget.RetryBudget(settings.limits.retry_share),
        'clock': platform.clock,
        'metrics': platform.metrics,
    }
    answers = answer_memory.AnswerMemory(settings.limits.memory_mb)
    claims_service = _claims(platform)
    return serving_dependencies.ServingDependencies(
        settings=settings,
        clock=platform.clock,
        metrics=platform.metrics,
        members=platform.membership,
        profiles=lambda: platform.change_log.profile_by_name,
        isolated=lambda: platform.follower.isolated,
        plans=plans,
        queue=queue,
        model_dispatcher=model_dispatcher.ModelDispatcher(
            queue=queue,
            engine_of=lambda server: engine_at(platform, server.listed.address),
            adapters=_adapters(platform, plans),
            answers=answers,
            **common,
        ),
        service_dispatcher=service_dispatcher.ServiceDispatcher(
            servers=platform.servers,
            router=server_router,
            answers=answers,
            **common,
        ),
        exclusive_runs=table,
        claims=claims_service,
        at_most_once_runner=at_most_once_runner.AtMostOnceRunner(
            claims_service
        ),
    )


def _adapters(
    platform: _entry_platform.EntryPlatform,
    plans: plan_view.PlanView,
) -> adapter_loader.AdapterLoader:
    return adapter_loader.AdapterLoader(
        plans=plans,
        members=platform.membership,
        max_concurrent_loads=platform.settings.weight_store.adapters_in_transit,
    )


def _claims(platform: _entry_platform.EntryPlatform) -> claims.Claims:
    return claims.Claims(
        store=platform.store,
        members=platform.membership,
        client=platform.rpc,
        settings=platform.settings.claims,
        clock=platform.clock,
        metrics=platform.metrics,
    )


def engine_at(
    platform: _entry_platform.EntryPlatform,
    address: str,
) -> engine.ModelEngine:
    """Return a client of the engine at `ip:port`."""
    return engine_http.HttpModelEngine(
        platform.rpc,
        address,
        timeout_s=platform.settings.control.order_timeout_ms / MS_PER_S,
    )


@dataclasses.dataclass(frozen=True)
class _CachedServers:
    """Cache a model's servers until the plan or the server list changes."""

    replicas: tuple[plan.Replica, ...]
    change_count: int
    servers: list[backend_server.BackendServer]


class _ReplicaServers:
    """Find the listed servers that hold a model."""

    def __init__(
        self,
        plans: plan_view.PlanView,
        platform: _entry_platform.EntryPlatform,
    ) -> None:
        self._plans = plans
        self._servers = platform.servers
        self._cached_by_model: dict[ids.ModelName, _CachedServers] = {}

    def of_model(
        self,
        model: ids.ModelName,
    ) -> list[backend_server.BackendServer]:
        replicas = self._plans.replicas_of(model)
        cached = self._cached_by_model.get(model)
        if (
            cached is not None
            and cached.replicas is replicas
            and cached.change_count == self._servers.change_count
        ):
            return cached.servers
        by_id = self._servers.server_by_id
        servers = [
            by_id[replica.server]
            for replica in replicas
            if replica.server in by_id
        ]
        self._cached_by_model[model] = _CachedServers(
            replicas,
            self._servers.change_count,
            servers,
        )
        return servers


def _suspects(
    platform: _entry_platform.EntryPlatform,
) -> crash_suspects.CrashSuspects:
    own = platform.membership.own
    own_name = f'{SUSPECTS_PREFIX}{own.instance_id}'
    version = own.incarnation * VERSIONS_PER_START

    def publish(counts: dict[str, int]) -> None:
        nonlocal version
        version += 1
        text = msgspec.json.encode(counts).decode()
        platform.documents.put(own_name, version, text)

    suspects = crash_suspects.CrashSuspects(
        limit=platform.settings.limits.crashes_per_request,
        clock=platform.clock,
        publish=publish,
    )

    def on_document(received: document.Document) -> None:
        if received.name != own_name:
            counts = decoding.from_json(received.text, expected=dict[str, int])
            suspects.update_from_peer(received.name, counts)

    platform.documents.add_listener(SUSPECTS_PREFIX, on_document)
    return suspects
