"""Decode the configuration and registrations in the platform's store."""

import msgspec

from oatcrank import decoding, ids, logs
from oatcrank.cluster import codec, store
from oatcrank.organisations import key_table, organisation
from oatcrank.platform import configuration_messages, registration_codec
from oatcrank.routing import route
from oatcrank.transport import limits

CONFIGURATION_KEY = 'op/config'
SERVERS_PREFIX = 'servers/'
MS_PER_S = 1000
# Callers wait for the next event of a stream for the longest of: this time,
# this multiple of the first event's target latency, and this multiple of the
# gap target between events.
MIN_PATIENCE_S = 2.0
PATIENCE_PER_TARGET = 4
PATIENCE_PER_GAP = 8
# A quota without a burst lets requests of this time through at once.
UNSTATED_BURST_S = 0.5
IDEMPOTENT = 'idempotent'
STREAMING = 'streaming'
KINDS = frozenset((IDEMPOTENT, 'non_idempotent', STREAMING))


class PlatformCodec(codec.Codec):
    """Codec for the keys and values of the platform's store."""

    def decode(self, item: store.Item) -> codec.DecodedItem:
        """Decode an item; returns None for other or unreadable items."""
        if item.key == CONFIGURATION_KEY:
            return _decode_configuration(item)
        if item.key.startswith(SERVERS_PREFIX):
            server_id = ids.ServerId(item.key.removeprefix(SERVERS_PREFIX))
            return registration_codec.decode(server_id, item.value)
        return None


def _decode_configuration(item: store.Item) -> route.Configuration | None:
    if item.value is None:
        return None
    try:
        configuration = decoding.from_json(
            item.value, expected=configuration_messages.Configuration
        )
    except msgspec.MsgspecError as error:
        logs.event('configuration_unreadable', error=error)
        return None
    return route.Configuration(
        version=configuration.version,
        routes=tuple(map(_route, configuration.routes)),
        service_by_name={
            ids.ServiceName(backend.name): _service(backend)
            for backend in configuration.backends
        },
        limits=limits.Limits(
            max_header_bytes=configuration.limits.max_header_bytes,
            max_body_bytes=configuration.limits.max_body_bytes,
            header_timeout_s=configuration.limits.header_timeout_ms / MS_PER_S,
            idle_timeout_s=configuration.limits.idle_timeout_ms / MS_PER_S,
        ),
        organisations=(
            None
            if configuration.tenants is None
            else tuple(map(_organisation, configuration.tenants))
        ),
    )


def _organisation(
    tenant: configuration_messages.Tenant,
) -> organisation.Organisation:
    return organisation.Organisation(
        name=ids.OrganisationName(tenant.name),
        priority=tenant.priority,
        quota=_quota(tenant) if tenant.rate_per_s > 0 else None,
        key_digests=tuple(
            key_table.digest(key.encode()) for key in tenant.api_keys
        ),
    )


def _quota(tenant: configuration_messages.Tenant) -> organisation.Quota:
    unit = organisation.QuotaUnit.requests
    if tenant.unit == organisation.QuotaUnit.tokens.value:
        unit = organisation.QuotaUnit.tokens
    return organisation.Quota(
        unit=unit,
        per_s=tenant.rate_per_s,
        burst=tenant.burst or tenant.rate_per_s * UNSTATED_BURST_S,
        plain_cost=tenant.plain_tokens,
    )


def _route(definition: configuration_messages.Route) -> route.Route:
    shares = [
        route.Share(ids.ServiceName(split.backend), split.weight)
        for split in definition.traffic_split
    ]
    if not shares and definition.backend is not None:
        shares.append(route.Share(ids.ServiceName(definition.backend), 1))
    streaming = definition.kind == STREAMING
    return route.Route(
        name=definition.name,
        host=definition.hostname,
        prefix=definition.prefix,
        shares=tuple(shares),
        repeatable=(
            definition.resumable if streaming else definition.kind == IDEMPOTENT
        ),
        streaming=streaming,
        max_servers=max(1, definition.max_attempts),
        timeout_s=definition.timeout_ms / MS_PER_S,
        target_s=definition.target_latency_ms / MS_PER_S,
        priority=definition.priority,
        patience_s=_patience_s(definition) if streaming else None,
        public=definition.public,
    )


def _patience_s(definition: configuration_messages.Route) -> float:
    """Return how long a caller waits for the next event of a stream."""
    return max(
        MIN_PATIENCE_S,
        PATIENCE_PER_TARGET * definition.target_latency_ms / MS_PER_S,
        PATIENCE_PER_GAP * definition.gap_target_ms / MS_PER_S,
    )


def _service(backend: configuration_messages.Backend) -> route.Service:
    return route.Service(
        name=ids.ServiceName(backend.name),
        max_connections=backend.max_conns,
        engine=None if backend.engine is None else _engine(backend.engine),
    )


def _engine(definition: configuration_messages.Engine) -> route.Engine:
    return route.Engine(
        model_by_name={
            ids.ModelName(model.name): route.Model(
                name=ids.ModelName(model.name),
                weights_mb=model.weights_mb,
                adapter_mb=model.adapter_mb,
                store_load_s=model.load_s,
                disk_load_s=(
                    model.load_s if model.disk_s is None else model.disk_s
                ),
                memory_load_s=(
                    model.load_s if model.warm_s is None else model.warm_s
                ),
            )
            for model in definition.models
        },
        weights_mb=definition.weights_mb,
        max_adapters=definition.max_adapters,
        store_loads_per_s=definition.loads_per_s,
    )
