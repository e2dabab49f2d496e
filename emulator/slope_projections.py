"""Project the resources that each role needs at the design size."""

from emulator import slope_projection, slope_sizes

KB = 1000
MB = 1_000_000
CPU_US_PER_CORE_PERCENT = 10_000
CPU_MS_PER_CORE_PERCENT = 10
KB_S = 'KB/s'
CORE = '% of a core'

Projection = slope_projection.Projection
Sizes = slope_sizes.Sizes
Rates = slope_sizes.Rates

IDLE_DAEMON = (
    Projection(
        role='all',
        title='core of an idle daemon, small lists',
        slope_name='daemon_core',
        size=Sizes.largest_measured_fleet,
        unit=CORE,
    ),
    Projection(
        role='all',
        title='memory of an idle daemon, small lists',
        slope_name='daemon_memory',
        size=Sizes.largest_measured_fleet,
        unit='MB',
    ),
    Projection(
        role='all',
        title='all received by an idle daemon, small fleet',
        slope_name='daemon_bytes_in',
        size=Sizes.small_fleet,
        per_unit=KB,
        unit=KB_S,
    ),
    Projection(
        role='all',
        title='all sent by an idle daemon, small fleet',
        slope_name='daemon_bytes_out',
        size=Sizes.small_fleet,
        per_unit=KB,
        unit=KB_S,
    ),
)
DIRECTORY = (
    Projection(
        role='directory',
        title='memory of the list of instances',
        slope_name='list_memory',
        size=Sizes.listed_instances,
        per_unit=MB,
        unit='MB',
    ),
    Projection(
        role='directory',
        title='list read by each daemon',
        slope_name='list_bytes',
        size=Sizes.listed_instances,
        rate=Rates.list_reads,
        per_unit=KB,
        unit=KB_S,
    ),
    Projection(
        role='directory',
        title='core to decode and apply the list',
        slope_name='list_take',
        size=Sizes.listed_instances,
        rate=Rates.list_reads,
        per_unit=CPU_US_PER_CORE_PERCENT,
        unit=CORE,
    ),
    Projection(
        role='directory',
        title='core of one address request',
        slope_name='roster_read',
        size=Sizes.daemons,
        per_unit=KB,
        unit='ms',
    ),
)
MEMBERSHIP = (
    Projection(
        role='membership',
        title='member documents kept',
        slope_name='member_bytes',
        size=Sizes.daemons,
        per_unit=MB,
        unit='MB',
    ),
    Projection(
        role='membership',
        title='heartbeats sent, digests equal',
        slope_name='exchange_bytes',
        size=Sizes.cell_members,
        rate=Rates.exchange_bodies,
        per_unit=KB,
        unit=KB_S,
    ),
    Projection(
        role='membership',
        title='versions sent while digests differ',
        slope_name='versions_bytes',
        size=Sizes.documents,
        rate=Rates.exchange_bodies,
        per_unit=KB,
        unit=KB_S,
    ),
    Projection(
        role='membership',
        title='core to list the alive members',
        slope_name='roster_read',
        size=Sizes.daemons,
        rate=Rates.roster_reads,
        per_unit=CPU_US_PER_CORE_PERCENT,
        unit=CORE,
    ),
)
CONFIGURATION = (
    Projection(
        role='configuration',
        title='profiles in memory',
        slope_name='profile_memory',
        size=Sizes.profiles,
        per_unit=MB,
        unit='MB',
    ),
    Projection(
        role='configuration',
        title='changes received',
        slope_name='change_bytes',
        size=Sizes.one,
        rate=Rates.changes_per_s,
        per_unit=KB,
        unit=KB_S,
    ),
    Projection(
        role='configuration',
        title='core to rebuild the profile index',
        slope_name='book_rebuild',
        size=Sizes.profiles,
        rate=Rates.changes_per_s,
        per_unit=CPU_US_PER_CORE_PERCENT,
        unit=CORE,
    ),
    Projection(
        role='configuration',
        title='time until a change is in force everywhere',
        slope_name='change_in_force',
        size=Sizes.daemons,
        unit='s',
    ),
    Projection(
        role='configuration',
        title='watches of the whole fleet',
        slope_name='key_value_watch',
        size=Sizes.daemons,
        unit='calls/s',
    ),
    Projection(
        role='configuration',
        title='reads of the whole fleet, mostly of the one lease',
        slope_name='key_value_get',
        size=Sizes.daemons,
        unit='calls/s',
    ),
    Projection(
        role='configuration',
        title='writes of the whole idle fleet, mostly of the one lease',
        slope_name='key_value_put',
        size=Sizes.daemons,
        unit='calls/s',
    ),
    Projection(
        role='audit',
        title='records of a day, never deleted',
        slope_name='change_bytes',
        size=Sizes.one,
        rate=Rates.changes_per_day,
        per_unit=MB,
        unit='MB a day',
    ),
)
ROUTING = (
    Projection(
        role='routing state',
        title='plans in memory',
        slope_name='plan_memory',
        size=Sizes.replicas,
        per_unit=MB,
        unit='MB',
    ),
    Projection(
        role='routing state',
        title='plans received, whole at each version',
        slope_name='plan_bytes',
        size=Sizes.pool_replicas,
        rate=Rates.plan_versions,
        per_unit=KB,
        unit=KB_S,
    ),
    Projection(
        role='routing state',
        title='core to index a plan at each version',
        slope_name='plan_take',
        size=Sizes.pool_replicas,
        rate=Rates.plan_versions,
        per_unit=CPU_US_PER_CORE_PERCENT,
        unit=CORE,
    ),
    Projection(
        role='data path',
        title='core of routing, usual model',
        slope_name='route_decision',
        size=Sizes.model_replicas,
        rate=Rates.daemon_requests,
        per_unit=CPU_US_PER_CORE_PERCENT,
        unit=CORE,
    ),
    Projection(
        role='data path',
        title='core of routing, all to a hot model',
        slope_name='route_decision',
        size=Sizes.hot_replicas,
        rate=Rates.daemon_requests,
        per_unit=CPU_US_PER_CORE_PERCENT,
        unit=CORE,
    ),
)
LOAD = (
    Projection(
        role='load digests',
        title='demand reported by a daemon to the one controller',
        slope_name='demand_bytes',
        size=Sizes.models,
        rate=Rates.demand_reports,
        per_unit=KB,
        unit=KB_S,
    ),
    Projection(
        role='load digests',
        title='demand received by the one controller',
        slope_name='demand_bytes',
        size=Sizes.models,
        rate=Rates.fleet_demand_reports,
        per_unit=MB,
        unit='MB/s',
    ),
    Projection(
        role='controller of a pool',
        title='reports of all workers at the one controller',
        slope_name='report_bytes',
        size=Sizes.worker_models,
        rate=Rates.worker_reports,
        per_unit=KB,
        unit=KB_S,
    ),
    Projection(
        role='controller of a pool',
        title='reports of one pool of 25',
        slope_name='report_bytes',
        size=Sizes.worker_models,
        rate=Rates.pool_worker_reports,
        per_unit=KB,
        unit=KB_S,
    ),
    Projection(
        role='controller of a pool',
        title='core to place all 25 pools in one process',
        slope_name='placement_round_300_servers',
        size=Sizes.pool_models,
        rate=Rates.all_pool_rounds,
        per_unit=CPU_US_PER_CORE_PERCENT,
        unit=CORE,
    ),
    Projection(
        role='controller of a pool',
        title='core of the rounds of all 25 pools in one process',
        slope_name='control_round',
        size=Sizes.pool_workers,
        rate=Rates.all_pool_rounds,
        per_unit=CPU_US_PER_CORE_PERCENT,
        unit=CORE,
    ),
    Projection(
        role='controller of a pool',
        title='core of the rounds of one pool of 25',
        slope_name='control_round',
        size=Sizes.pool_workers,
        rate=Rates.pool_rounds,
        per_unit=CPU_US_PER_CORE_PERCENT,
        unit=CORE,
    ),
    Projection(
        role='controller of a pool',
        title='core to place one pool of 25',
        slope_name='placement_round_300_servers',
        size=Sizes.pool_models,
        rate=Rates.pool_rounds,
        per_unit=CPU_US_PER_CORE_PERCENT,
        unit=CORE,
    ),
)
CLAIMS = (
    Projection(
        role='at-most-once claims',
        title='claims kept by the owner of a shard',
        slope_name='claim_bytes',
        size=Sizes.shard_claims,
        per_unit=MB,
        unit='MB',
    ),
    Projection(
        role='at-most-once claims',
        title='core of the whole fleet, service and load included',
        slope_name='claim_core',
        size=Sizes.claims,
        per_unit=CPU_MS_PER_CORE_PERCENT,
        unit=CORE,
    ),
)
ALL = (
    *IDLE_DAEMON,
    *DIRECTORY,
    *MEMBERSHIP,
    *CONFIGURATION,
    *ROUTING,
    *LOAD,
    *CLAIMS,
)
