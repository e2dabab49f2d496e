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
    made = backend_server.BackendServer(
        instance_list.Instance(
            instance_id=name,
            kind=instance_list.Kind.engine,
            address='127.0.0.1:1',
            failure_domain=ids.FailureDomain(domain),
            state=state,
        ),
        clock.ManualClock(),
    )
    made.record_load(load, 0, SLOTS)
    made.suspect_count = suspects
    if failed:
        made.record_failure()
    return made


@pytest.mark.parametrize(
    ('servers', 'options', 'chosen'),
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
    chosen: str | None,
) -> None:
    made = router.Router(failure_domain=ids.FailureDomain('near'), seed=1)
    found = made.choose(servers, **options)
    assert (found and found.listed.instance_id) == chosen


def test_finds_the_only_free_server_among_many() -> None:
    made = router.Router(failure_domain=ids.FailureDomain('near'), seed=1)
    servers = [server(f'full-{number}', load=9) for number in range(300)]
    free = server('free')
    servers.insert(150, free)
    assert made.choose(servers) is free


def test_prefix_keeps_to_one_server_until_it_is_loaded() -> None:
    made = router.Router(failure_domain=ids.FailureDomain('near'), seed=1)
    servers = [server(name) for name in 'abc']
    favourite = made.choose(servers, prefix='p')
    assert favourite is not None
    assert made.choose(servers, prefix='p') is favourite
    favourite.in_flight += 2
    assert made.choose(servers, prefix='p') is not favourite
