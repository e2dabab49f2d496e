"""Test the load and backoff that an entry instance tracks per server."""

from oatcrank import clock
from oatcrank.engines import backend_server
from oatcrank.entry import router
from oatcrank.membership import instance_list

LISTED = instance_list.Instance(
    instance_id='s',
    kind=instance_list.Kind.engine,
    address='127.0.0.1:1',
    failure_domain='d',
)


def make_server() -> tuple[backend_server.BackendServer, clock.ManualClock]:
    manual_clock = clock.ManualClock()
    return backend_server.BackendServer(LISTED, manual_clock), manual_clock


def test_reported_load_decays() -> None:
    server, manual_clock = make_server()
    server.record_load(16, 44, 16)
    assert server.load > router.MAX_LOAD
    manual_clock.advance(backend_server.REPORT_MAX_AGE_S)
    assert server.load == 0


def test_simultaneous_failures_count_once() -> None:
    server, manual_clock = make_server()
    for _ in range(5):
        server.record_failure()
    assert not server.usable
    manual_clock.advance(backend_server.MIN_BACKOFF_S)
    assert server.usable


def test_one_request_probes_a_server_after_a_request_not_started() -> None:
    server, manual_clock = make_server()
    server.record_failure(not_started=True)
    manual_clock.advance(backend_server.MIN_BACKOFF_S)
    server.in_flight += 1
    assert not server.usable
    server.record_success()
    assert server.usable
