"""Check what an entry instance concludes about a backend server."""

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


def made() -> tuple[backend_server.BackendServer, clock.ManualClock]:
    ticker = clock.ManualClock()
    return backend_server.BackendServer(LISTED, ticker), ticker


def test_old_report_keeps_nobody_away() -> None:
    server, ticker = made()
    server.take_report(16, 44, 16)
    assert server.load > router.MAX_LOAD
    ticker.advance(backend_server.REPORT_MAX_AGE_S)
    assert server.load == 0


def test_failures_together_count_once() -> None:
    server, ticker = made()
    for _ in range(5):
        server.failed()
    assert not server.usable
    ticker.advance(backend_server.MIN_BACKOFF_S)
    assert server.usable


def test_one_request_tries_a_server_that_took_nothing() -> None:
    server, ticker = made()
    server.failed(took_nothing=True)
    ticker.advance(backend_server.MIN_BACKOFF_S)
    server.in_flight += 1
    assert not server.usable
    server.succeeded()
    assert server.usable
