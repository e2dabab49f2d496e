"""Requirements that are checked against the measured slopes."""

from emulator import slope_projection, slope_projections, slope_requirement

Requirement = slope_requirement.Requirement
CORE = slope_projections.CORE
KB_S = slope_projections.KB_S
CORE_LIMIT_PERCENT = 4.4
MEMORY_LIMIT_MB = 128
TRAFFIC_LIMIT_KB_S = 3
IN_FORCE_LIMIT_S = 11
READ_LIMIT_PER_S = 2000
WRITE_LIMIT_PER_S = 400
CLAIM_AND_PLAN_WRITES_PER_S = 349


def _projections(*titles: str) -> tuple[slope_projection.Projection, ...]:
    projection_by_title = {
        projection.title: projection for projection in slope_projections.ALL
    }
    return tuple(projection_by_title[title] for title in titles)


PROFILE_INDEX_CORE = 'core to rebuild the profile index'
ALIVE_MEMBERS_CORE = 'core to list the alive members'
IDLE_CORE = 'core of an idle daemon, small lists'
DAEMON_CORE = (
    IDLE_CORE,
    'core to decode and apply the list',
    ALIVE_MEMBERS_CORE,
    PROFILE_INDEX_CORE,
    'core to index a plan at each version',
)
DAEMON_MEMORY = (
    'memory of an idle daemon, small lists',
    'memory of the list of instances',
    'member documents kept',
    'profiles in memory',
    'plans in memory',
)
ALL = (
    Requirement(
        title='control: core of a daemon',
        limit=CORE_LIMIT_PERCENT,
        unit=CORE,
        projections=_projections(*DAEMON_CORE),
    ),
    Requirement(
        title='control: core of the one controller',
        limit=CORE_LIMIT_PERCENT,
        unit=CORE,
        projections=_projections(
            *DAEMON_CORE,
            'core to place all 25 pools in one process',
            'core of the rounds of all 25 pools in one process',
        ),
    ),
    Requirement(
        title='control: memory of a daemon',
        limit=MEMORY_LIMIT_MB,
        unit='MB',
        projections=_projections(*DAEMON_MEMORY),
    ),
    Requirement(
        title='control: memory of the owner of one claim shard of 100',
        limit=MEMORY_LIMIT_MB,
        unit='MB',
        projections=_projections(
            *DAEMON_MEMORY, 'claims kept by the owner of a shard'
        ),
    ),
    Requirement(
        title='control: all sent by a daemon of 3, idle',
        limit=TRAFFIC_LIMIT_KB_S,
        unit=KB_S,
        projections=_projections('all sent by an idle daemon, small fleet'),
    ),
    Requirement(
        title='control: all received by a daemon of 3, idle',
        limit=TRAFFIC_LIMIT_KB_S,
        unit=KB_S,
        projections=_projections('all received by an idle daemon, small fleet'),
    ),
    Requirement(
        title='control: sent by a daemon',
        limit=TRAFFIC_LIMIT_KB_S,
        unit=KB_S,
        projections=_projections(
            'heartbeats sent, digests equal',
            'versions sent while digests differ',
            'demand reported by a daemon to the one controller',
        ),
    ),
    Requirement(
        title='control: received by a daemon',
        limit=TRAFFIC_LIMIT_KB_S,
        unit=KB_S,
        projections=_projections(
            'list read by each daemon',
            'heartbeats sent, digests equal',
            'versions sent while digests differ',
            'plans received, whole at each version',
            'changes received',
        ),
    ),
    Requirement(
        title='configuration: a change in force everywhere',
        limit=IN_FORCE_LIMIT_S,
        unit='s',
        projections=_projections('time until a change is in force everywhere'),
    ),
    Requirement(
        title='key-value service: reads and watches',
        limit=READ_LIMIT_PER_S,
        unit='calls/s',
        projections=_projections(
            'reads of the whole fleet, mostly of the one lease',
            'watches of the whole fleet',
        ),
    ),
    Requirement(
        title='key-value service: writes',
        limit=WRITE_LIMIT_PER_S,
        unit='calls/s',
        projections=_projections(
            'writes of the whole idle fleet, mostly of the one lease'
        ),
        rest=CLAIM_AND_PLAN_WRITES_PER_S,
        rest_title='for claims (100 shards / 300 ms) and plans (15.8)',
    ),
)
