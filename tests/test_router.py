"""Check which backend server the router chooses."""

import pytest

from oatcrank import clock, ids
from oatcrank.engines import backend_server
from oatcrank.entry import router
from oatcrank.membership import instance_list

SLOTS = 4


def server(
    name: str,
    *,
    load: int = 0,
    domain: str = 'far',
    leaving: bool = False,
    failed: bool = False,
    suspects: int = 0,
) -> backend_server.BackendServer:
    state = instance_list.State.leaving if leaving else instance_list.State.live
    new_server = backend_server.BackendServer(
        instance_list.Instance(
            instance_id=name,
            kind=instance_list.Kind.engine,
            address='127.0.0.1:1',
            failure_domain=ids.FailureDomain(domain),
            state=state,
        ),
        clock.ManualClock(),
    )
    new_server.record_load(load, 0, SLOTS)
    new_server.suspect_count = suspects
    if failed:
        new_server.record_failure()
    return new_server


@pytest.mark.parametrize(
    ('servers', 'options', 'chosen_id'),
    [
        ([server('a', load=3), server('b', load=1)], {}, 'b'),
        ([server('a', domain='near'), server('b')], {}, 'a'),
        ([server('a', domain='near', load=2), server('b')], {}, 'b'),
        ([server('a', leaving=True), server('b', load=3)], {}, 'b'),
        ([server('a', failed=True), server('b', load=3)], {}, 'b'),
        ([server('a', load=5)], {}, None),
        (
            [server('a'), server('b', domain='x')],
            {'avoid_domains': {'far'}},
            'b',
        ),
        ([server('a')], {'avoid_domains': {'far'}}, 'a'),
        ([server('a', suspects=1)], {'exclude_suspects': True}, None),
        ([], {}, None),
    ],
)
def test_choose(
    servers: list[backend_server.BackendServer],
    options: dict,
    chosen_id: str | None,
) -> None:
    near_router = router.Router(
        failure_domain=ids.FailureDomain('near'), seed=1
    )
    chosen_server = near_router.choose(servers, **options)
    assert (chosen_server and chosen_server.listed.instance_id) == chosen_id


def test_finds_the_only_free_server_among_many() -> None:
    near_router = router.Router(
        failure_domain=ids.FailureDomain('near'), seed=1
    )
    servers = [server(f'full-{number}', load=9) for number in range(300)]
    free = server('free')
    servers.insert(150, free)
    assert near_router.choose(servers) is free


def test_prefix_keeps_to_one_server_until_it_is_loaded() -> None:
    near_router = router.Router(
        failure_domain=ids.FailureDomain('near'), seed=1
    )
    servers = [server(name) for name in 'abc']
    cached_server = near_router.choose(servers, prefix='p')
    assert cached_server is not None
    assert near_router.choose(servers, prefix='p') is cached_server
    cached_server.in_flight += 2
    assert near_router.choose(servers, prefix='p') is not cached_server
