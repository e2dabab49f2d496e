"""Measure the size of control messages and the cost of reading them."""

import asyncio
from collections.abc import Callable, Iterator

import msgspec

from emulator import slope, slope_fit, slope_memory, slope_samples, slope_timing
from oatcrank import clock, ids
from oatcrank.engines import backend_servers
from oatcrank.membership import (
    documents,
    failure_detector,
    instance_list,
    roster,
)

COMMAND = 'python -m emulator slopes --only messages'
INSTANCES = (9, 27, 81, 260, 780)
LISTED_INSTANCES = (100, 1000, 7100)
MODELS = (10, 100, 300, 1200)
HELD_MODELS = (1, 2, 4, 8)
CELL_SIZE = 32

Workload = Callable[[], object]


class FixedList(instance_list.InstanceList):
    """Instance list that never changes."""

    def __init__(self, listed: tuple[instance_list.Instance, ...]) -> None:
        """Set the list."""
        self._listed = listed

    async def read(self) -> tuple[instance_list.Instance, ...]:
        """Return the list."""
        return self._listed


def measure(*, quick: bool) -> Iterator[slope.Slope]:
    """Return the slopes of membership, instance list, demand and reports."""
    repeats = slope_timing.QUICK_REPEATS if quick else slope_timing.REPEATS
    samples = slope_samples
    for name, per, build, sizes in (
        (
            'exchange_bytes',
            'member of the cell',
            samples.heartbeat_exchange,
            INSTANCES,
        ),
        ('versions_bytes', 'document', samples.versions, INSTANCES),
        ('member_bytes', 'member', samples.members, INSTANCES),
        ('demand_bytes', 'model in demand', samples.demand, MODELS),
        (
            'report_bytes',
            'model that an engine holds',
            samples.report,
            HELD_MODELS,
        ),
        ('list_bytes', 'listed instance', samples.listing, LISTED_INSTANCES),
    ):
        yield slope_fit.fit(
            name,
            [_message_bytes(size, build) for size in sizes],
            unit='B',
            per=per,
            command=COMMAND,
            condition='body alone, without HTTP headers',
        )
    yield slope_fit.fit(
        'list_take',
        slope_timing.measure_sizes(
            LISTED_INSTANCES, _prepare_list_update, repeats=repeats
        ),
        unit='us',
        per='listed instance',
        command=COMMAND,
        condition='decoded and taken in, without the HTTP call',
    )
    yield slope_fit.fit(
        'list_memory',
        slope_memory.measure_sizes(LISTED_INSTANCES, _prepare_list_update),
        unit='B',
        per='listed instance',
        command=COMMAND,
        condition='kept by the data path',
    )
    yield slope_fit.fit(
        'roster_read',
        slope_timing.measure_sizes(
            INSTANCES, _prepare_roster_read, repeats=repeats
        ),
        unit='us',
        per='member',
        command=COMMAND,
        condition=f'who is alive, cells of {CELL_SIZE}, asked again by every '
        'exchange, demand report and address request',
    )


def _message_bytes(size: int, build: Callable[[int], object]) -> slope.Point:
    return slope.point(size, [len(msgspec.json.encode(build(size)))])


def _prepare_list_update(size: int) -> Workload:
    text = msgspec.json.encode(slope_samples.listing(size))
    servers = backend_servers.BackendServers(
        FixedList(()), clock.MonotonicClock()
    )
    kind = tuple[instance_list.Instance, ...]
    return lambda: servers.update(msgspec.json.decode(text, type=kind))


def _prepare_roster_read(size: int) -> Workload:
    known_documents = documents.Documents()
    for known_member in slope_samples.members(size):
        text = msgspec.json.encode(known_member).decode()
        known_documents.put(
            f'{roster.MEMBER_PREFIX}{known_member.instance_id}', 1, text
        )
    monotonic_clock = clock.MonotonicClock()
    members_view = roster.Roster(
        ids.InstanceId('entry-00001'),
        instance_list=FixedList(slope_samples.entries(size)),
        documents=known_documents,
        detector=failure_detector.FailureDetector(
            dead_after_s=1, clock=monotonic_clock
        ),
        cell_size=CELL_SIZE,
        clock=monotonic_clock,
    )
    asyncio.run(members_view.read_list())
    return members_view.alive
