"""Read what the platform's operator and workers write to its store."""

import msgspec

from oatcrank import ids, logs
from oatcrank.cluster import codec, store
from oatcrank.platform import configuration_words, registration_words
from oatcrank.routing import route, server_registration
from oatcrank.transport import limits

CONFIGURATION_KEY = 'op/config'
SERVERS_PREFIX = 'servers/'
MILLISECONDS = 1000
# Callers wait for an event as long as the longest of these: seconds, times the
# target of the first event, times the longest pause that is still on time.
LEAST_PATIENCE_S = 2.0
PATIENCE_TARGETS = 4
PATIENCE_GAPS = 8
IDEMPOTENT = 'idempotent'
STREAMING = 'streaming'
KINDS = frozenset((IDEMPOTENT, 'non_idempotent', STREAMING))
STATES = frozenset(('ready', 'draining'))


class PlatformCodec(codec.Codec):
    """Know the keys and fields of the platform's store."""

    def read(self, item: store.Item) -> codec.Meaning:
        """Return what an item says, or None if it says nothing."""
        if item.key == CONFIGURATION_KEY:
            return _configuration(item)
        if item.key.startswith(SERVERS_PREFIX):
            return _listing(item)
        return None


def _configuration(item: store.Item) -> route.Configuration | None:
    if item.value is None:
        return None
    try:
        told = msgspec.json.decode(
            item.value, type=configuration_words.Configuration
        )
    except msgspec.MsgspecError as error:
        logs.event('configuration_unreadable', error=error)
        return None
    return route.Configuration(
        version=told.version,
        routes=tuple(_route(one) for one in told.routes),
        service_by_name={
            ids.ServiceName(one.name): _service(one) for one in told.backends
        },
        limits=limits.Limits(
            header_bytes=told.limits.max_header_bytes,
            body_bytes=told.limits.max_body_bytes,
            header_s=told.limits.header_timeout_ms / 1000,
            idle_s=told.limits.idle_timeout_ms / 1000,
        ),
    )


def _route(told: configuration_words.Route) -> route.Route:
    shares = [
        route.Share(ids.ServiceName(one.backend), one.weight)
        for one in told.traffic_split
    ]
    if not shares and told.backend is not None:
        shares.append(route.Share(ids.ServiceName(told.backend), 1))
    streaming = told.kind == STREAMING
    return route.Route(
        name=told.name,
        host=told.hostname,
        prefix=told.prefix,
        shares=tuple(shares),
        repeatable=told.resumable if streaming else told.kind == IDEMPOTENT,
        streaming=streaming,
        max_servers=max(1, told.max_attempts),
        timeout_s=told.timeout_ms / 1000,
        target_s=told.target_latency_ms / 1000,
        urgency=told.priority,
        patience_s=_patience_s(told) if streaming else None,
    )


def _patience_s(told: configuration_words.Route) -> float:
    """Return how long a caller waits for the next event of a stream."""
    return max(
        LEAST_PATIENCE_S,
        PATIENCE_TARGETS * told.target_latency_ms / MILLISECONDS,
        PATIENCE_GAPS * told.gap_target_ms / MILLISECONDS,
    )


def _service(told: configuration_words.Backend) -> route.Service:
    return route.Service(
        name=ids.ServiceName(told.name),
        max_connections=told.max_conns,
        engine=None if told.engine is None else _engine(told.engine),
    )


def _engine(told: configuration_words.Engine) -> route.Engine:
    return route.Engine(
        model_by_name={
            ids.ModelName(one.name): route.Model(
                name=ids.ModelName(one.name),
                weights_mb=one.weights_mb,
                adapter_mb=one.adapter_mb,
                store_load_s=one.load_s,
                disk_load_s=one.load_s if one.disk_s is None else one.disk_s,
                memory_load_s=(
                    one.load_s if one.warm_s is None else one.warm_s
                ),
            )
            for one in told.models
        },
        weights_mb=told.weights_mb,
        max_adapters=told.max_adapters,
        store_loads_per_s=told.loads_per_s,
    )


def _listing(
    item: store.Item,
) -> server_registration.Registration | codec.ServerGone:
    server_id = ids.ServerId(item.key.removeprefix(SERVERS_PREFIX))
    if item.value is None:
        return codec.ServerGone(server_id, 'registration ended')
    try:
        told = msgspec.json.decode(item.value, type=registration_words.Entry)
        return _usable(server_id, told)
    except (msgspec.MsgspecError, ValueError) as error:
        logs.event('registration_unreadable', server=server_id, error=error)
        return codec.ServerGone(server_id, 'registration unreadable')


def _usable(
    server_id: ids.ServerId, told: registration_words.Entry
) -> server_registration.Registration:
    if told.state not in STATES:
        raise ValueError(f'unknown state {told.state}')
    host, _, port = told.address.rpartition(':')
    if not host:
        raise ValueError(f'no address: {told.address}')
    return server_registration.Registration(
        server_id=server_id,
        started_ms=told.born,
        service=ids.ServiceName(told.backend),
        host=host,
        port=int(port),
        failure_domain=ids.FailureDomain(told.zone),
        slots=told.slots,
        leaving=told.state == 'draining',
        orders_taken=told.seq,
        adapters_by_model=registration_words.held_adapters(told.models),
        cached_in_memory=tuple(map(ids.ModelName, told.at_hand.in_memory)),
        cached_on_disk=tuple(map(ids.ModelName, told.at_hand.on_disk)),
    )
