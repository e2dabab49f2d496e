"""Make control messages of typical content at any size."""

from oatcrank import ids
from oatcrank.control import demand_report
from oatcrank.engines import engine
from oatcrank.membership import exchange, instance_list, member

DOMAINS = 25
HOSTS = 200
CHANGES = 21_000
HEARTBEATS = 100_000
SERVICE_S = 2.5
RUNNING = 10
MEMORY_MB = 68_000
MODEL_MB = 27_000
FENCE = 10


def instance(kind: instance_list.Kind, number: int) -> instance_list.Instance:
    """Return a listed instance with names of typical length."""
    return instance_list.Instance(
        instance_id=f'{kind.value}-{number:05}',
        kind=kind,
        address=f'10.{number % HOSTS}.{number // HOSTS}.17:8080',
        failure_domain=ids.FailureDomain(f'domain-{number % DOMAINS:02}'),
        pool=ids.PoolName(f'pool-{number % DOMAINS:02}'),
    )


def listing(size: int) -> list[instance_list.Instance]:
    """Return a list of engines."""
    return [
        instance(instance_list.Kind.engine, number) for number in range(size)
    ]


def entries(size: int) -> tuple[instance_list.Instance, ...]:
    """Return a list of entry instances."""
    return tuple(
        instance(instance_list.Kind.entry, number) for number in range(size)
    )


def members(size: int) -> list[member.Member]:
    """Return the members that peers list for entry instances."""
    return [
        member.Member(
            instance_id=ids.InstanceId(entry.instance_id),
            address=entry.address,
            failure_domain=entry.failure_domain,
            incarnation=3,
        )
        for entry in entries(size)
    ]


def heartbeat_exchange(size: int) -> exchange.Exchange:
    """Return an exchange of heartbeat counts with equal digests."""
    return exchange.Exchange(
        protocol=exchange.PROTOCOL_VERSION,
        sender=members(1)[0],
        vector_digest='12345678',
        newest_change=CHANGES,
        digest='1234567812345678',
        counts=tuple(range(HEARTBEATS, HEARTBEATS + size)),
    )


def versions(size: int) -> dict[str, int]:
    """Return the versions that are sent while digests differ."""
    return {f'member/{entry.instance_id}': 3 for entry in entries(size)}


def demand(size: int) -> demand_report.DemandReport:
    """Return a report of the demand for many models."""
    return demand_report.DemandReport(
        instance_id=ids.InstanceId('entry-00001'),
        models=tuple(
            demand_report.ModelDemand(
                model=ids.ModelName(f'model-{number:04}'),
                arrivals=3,
                waiting=1,
                running=RUNNING,
                service_s=SERVICE_S,
            )
            for number in range(size)
        ),
    )


def report(size: int) -> engine.EngineReport:
    """Return an engine's report."""
    return engine.EngineReport(
        server_id=ids.ServerId('engine-00001'),
        boot_id='123456781234567812345678',
        memory_mb=MEMORY_MB,
        used_mb=MEMORY_MB,
        fence=ids.Fence(FENCE),
        slots=RUNNING,
        running=8,
        queued=0,
        held=tuple(
            engine.HeldModel(
                model=ids.ModelName(f'model-{number:04}'),
                memory_mb=MODEL_MB,
                ready=True,
                running=4,
            )
            for number in range(size)
        ),
    )
