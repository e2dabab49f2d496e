"""Sizes and rates that the design is for, with assumptions."""

import enum

import msgspec

DAY_S = 86_400
HOUR_S = 3600
DAEMONS = 780
WORKERS = 7100
MODELS = 1200
POOLS = 25
CELLS_PER_DOMAIN = 2
SMALL_FLEET_DAEMONS = 3
MAX_MEASURED_DAEMONS = 81
CHANGES_PER_DAY = 21_000
REQUESTS_PER_S = 68_000
MODELS_PER_WORKER = 2
HOT_REPLICAS = 300
STATES_PER_MOVE = 4
CLAIM_SHARE = 0.01
CLAIM_SHARDS = 100
ROUNDS_PER_S = 4
REPORTS_PER_S = 0.2
EXCHANGE_BODIES_PER_S = 9
LIST_READS_PER_S = 1
ROSTER_READS_PER_S = 10
DEMAND_REPORTS_PER_S = 2

REPLICAS = WORKERS * MODELS_PER_WORKER
CLAIMS_PER_S = REQUESTS_PER_S * CLAIM_SHARE
PLAN_VERSIONS_PER_S = REPLICAS * STATES_PER_MOVE / HOUR_S


class Size(msgspec.Struct, frozen=True, kw_only=True):
    """Number that a slope is multiplied by, with its title."""

    title: str
    count: float


class Sizes(enum.Enum):
    """Sizes; the titles say which are assumed."""

    one = Size(title='one', count=1)
    daemons = Size(title='daemons', count=DAEMONS)
    small_fleet = Size(
        title='daemons of a small fleet', count=SMALL_FLEET_DAEMONS
    )
    largest_measured_fleet = Size(
        title='daemons of the largest fleet measured',
        count=MAX_MEASURED_DAEMONS,
    )
    cell_members = Size(
        title='members of a cell, half of a failure domain',
        count=DAEMONS / POOLS / CELLS_PER_DOMAIN,
    )
    documents = Size(title='daemons and plans', count=DAEMONS + POOLS)
    listed_instances = Size(
        title='daemons and workers', count=DAEMONS + WORKERS
    )
    pool_workers = Size(
        title='workers of one of 25 pools', count=WORKERS / POOLS
    )
    models = Size(title='models, all in demand', count=MODELS)
    pool_models = Size(title='models of one of 25 pools', count=MODELS / POOLS)
    worker_models = Size(
        title='models a worker holds (assumed)', count=MODELS_PER_WORKER
    )
    replicas = Size(title='replicas', count=REPLICAS)
    pool_replicas = Size(
        title='replicas of one of 25 pools', count=REPLICAS / POOLS
    )
    model_replicas = Size(
        title='replicas of a usual model', count=REPLICAS // MODELS
    )
    hot_replicas = Size(
        title='replicas of a hot model (assumed)', count=HOT_REPLICAS
    )
    profiles = Size(title='profiles, one a model (assumed)', count=MODELS)
    claims = Size(
        title='claims/s, 1% of requests (assumed)', count=CLAIMS_PER_S
    )
    shard_claims = Size(
        title='claims of a day in one of 100 shards',
        count=CLAIMS_PER_S * DAY_S / CLAIM_SHARDS,
    )


class Rates(enum.Enum):
    """Rates at which a cost is incurred."""

    once = Size(title='once', count=1)
    exchange_bodies = Size(
        title='exchange bodies/s: 4.5 calls, 4.5 answers, as below 16 members',
        count=EXCHANGE_BODIES_PER_S,
    )
    list_reads = Size(
        title='reads/s of the list',
        count=LIST_READS_PER_S,
    )
    roster_reads = Size(
        title='reads/s of the alive members (assumed)',
        count=ROSTER_READS_PER_S,
    )
    demand_reports = Size(title='demand reports/s', count=DEMAND_REPORTS_PER_S)
    fleet_demand_reports = Size(
        title='demand reports/s of all daemons',
        count=DEMAND_REPORTS_PER_S * DAEMONS,
    )
    changes_per_s = Size(title='changes/s', count=CHANGES_PER_DAY / DAY_S)
    changes_per_day = Size(title='changes a day', count=CHANGES_PER_DAY)
    daemon_requests = Size(
        title='requests/s of a daemon', count=REQUESTS_PER_S / DAEMONS
    )
    plan_versions = Size(
        title='plan versions/s, each replica moved once an hour (assumed)',
        count=PLAN_VERSIONS_PER_S,
    )
    all_pool_rounds = Size(
        title='rounds/s of 25 pools', count=ROUNDS_PER_S * POOLS
    )
    pool_rounds = Size(title='rounds/s of a pool', count=ROUNDS_PER_S)
    worker_reports = Size(
        title='reports/s of all workers', count=REPORTS_PER_S * WORKERS
    )
    pool_worker_reports = Size(
        title='reports/s of the workers of a pool',
        count=REPORTS_PER_S * WORKERS / POOLS,
    )
