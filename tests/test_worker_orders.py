"""Test orders and reports against a stand-in worker."""

import asyncio

import forwarding_site
import pytest
import routing_parts

from emulator import platform_worker
from oatcrank.cluster import limited_order_sender
from oatcrank.orders import order
from oatcrank.platform import worker_order_sender


def run_with_worker(work):
    async def run():
        worker = platform_worker.Worker('server-0')
        await worker.start()
        listed = routing_parts.registration(0, port=worker.port)
        try:
            await work(worker, listed, worker_order_sender.WorkerOrderSender())
        finally:
            await worker.stop()

    asyncio.run(run())


def allowed():
    return True


def an_order(**changes):
    fields = {
        'action': order.Action.load,
        'model': 'm0',
        'adapter': None,
        'orders_taken': 2,
        'holder': 'instance-1',
        'fence': 41,
        **changes,
    }
    return order.Order(**fields)


@pytest.mark.parametrize(
    ('status', 'expected'),
    [
        (202, order.Outcome.accepted),
        (200, order.Outcome.done),
        (409, order.Outcome.conflict),
        (412, order.Outcome.rejected),
        (400, order.Outcome.rejected),
        (421, order.Outcome.misdirected),
        (500, order.Outcome.unknown),
        # A status that no standard lists.
        (599, order.Outcome.unknown),
    ],
)
def test_outcomes(status, expected):
    async def work(worker, listed, sender):
        worker.order_status = status
        assert await sender.send(listed, an_order(), allowed) is expected

    run_with_worker(work)


def test_an_order_contains_all_fields_of_its_condition():
    async def work(worker, listed, sender):
        await sender.send(listed, an_order(adapter='a3'), allowed)
        (seen,) = worker.received_requests
        assert seen.header_by_name['x-expected-instance'] == 'server-0'
        assert seen.body == (
            b'{"operation":"model_load","model":"m0","adapter":"a3",'
            b'"expected":2,"holder":"instance-1","fencing_token":41}'
        )

    run_with_worker(work)


def test_orders_share_a_connection():
    async def work(worker, listed, sender):
        for _ in range(5):
            await sender.send(listed, an_order(), allowed)
        await sender.report(listed)
        assert worker.connection_count == 1

    run_with_worker(work)


def test_an_order_to_a_stopped_worker_is_unsent():
    async def work(worker, listed, sender):
        await worker.stop()
        outcome = await sender.send(listed, an_order(), allowed)
        assert outcome is order.Outcome.unsent
        assert await sender.report(listed) is None

    run_with_worker(work)


def test_an_order_without_an_answer_has_an_unknown_outcome(monkeypatch):
    monkeypatch.setattr(worker_order_sender, 'ORDER_TIMEOUT_S', 0.1)

    async def work(worker, listed, sender):
        worker.order_delay_s = 1.0
        outcome = await sender.send(listed, an_order(), allowed)
        assert outcome is order.Outcome.unknown

    run_with_worker(work)


def test_a_report():
    async def work(worker, listed, sender):
        worker.report = {
            'busy': True,
            'seq': 7,
            'models': [{'name': 'm0', 'adapters': ['a1']}],
            'coming': ['m0/a2@1'],
            'born': 99,
        }
        report = await sender.report(listed)
        assert (report.busy, report.orders_taken, report.started_ms) == (
            True,
            7,
            99,
        )
        assert report.adapters_by_model == {'m0': ('a1',)}
        assert report.arriving_adapters == (('m0', 'a2'),)

    run_with_worker(work)


@pytest.mark.parametrize('report', [{}, {'busy': 'yes', 'seq': 1}])
def test_a_malformed_report_is_ignored(report):
    async def work(worker, listed, sender):
        worker.report = report
        assert await sender.report(listed) is None

    run_with_worker(work)


def test_an_order_is_not_sent_after_the_lease_has_ended():
    """Opening a connection may take longer than the lease lasts."""

    async def work(worker, listed, sender):
        outcome = await sender.send(listed, an_order(), bool)
        assert outcome is order.Outcome.unsent
        assert not worker.received_requests

    run_with_worker(work)


class OneLimit(forwarding_site.StubServerLimiter):
    """Remember the registrations for which a permit was asked."""

    def __init__(self, wait_s) -> None:
        super().__init__()
        self.wait_s_by_id = {'server-0': wait_s}


@pytest.mark.parametrize(
    ('wait_s', 'outcome', 'received'),
    [
        (0, order.Outcome.accepted, 2),
        (0.05, order.Outcome.accepted, 2),
        (60.0, order.Outcome.unsent, 0),
    ],
)
def test_orders_and_reports_take_a_permit_of_a_limit(wait_s, outcome, received):
    async def work(worker, listed, sender):
        limiter = OneLimit(wait_s)
        limited = limited_order_sender.LimitedOrderSender(sender, limiter)
        assert await limited.send(listed, an_order(), allowed) is outcome
        report = await limited.report(listed)
        assert (report is not None) == bool(received)
        assert len(worker.received_requests) == received
        assert len(limiter.granted_ids) == received

    run_with_worker(work)


@pytest.mark.parametrize(
    ('limit_per_s', 'status', 'named'),
    [
        (4.5, 202, [4.5, 4.5]),
        (4.5, 409, [4.5, 4.5]),
        (4.5, 421, [4.5]),
        # Without a limit they say nothing: only answers to requests end one.
        (None, 202, []),
    ],
)
def test_answers_to_orders_and_reports_name_limits(limit_per_s, status, named):
    async def work(worker, listed, sender):
        limiter = OneLimit(0)
        limited = limited_order_sender.LimitedOrderSender(sender, limiter)
        worker.limit_per_s = limit_per_s
        worker.order_status = status
        await limited.send(listed, an_order(), allowed)
        await limited.report(listed)
        assert [limit for _, limit in limiter.named] == named

    run_with_worker(work)
