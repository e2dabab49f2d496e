"""Check how requests wait for a slot and when they are refused."""

import asyncio

import pytest

from oatcrank import clock, ids, refusal
from oatcrank.configuration import profile, target
from oatcrank.engines import backend_server
from oatcrank.entry import dispatch_queue, dispatch_request, router
from oatcrank.membership import instance_list

MODEL = ids.ModelName('m')


def engine_server() -> backend_server.BackendServer:
    server = backend_server.BackendServer(
        instance_list.Instance(
            instance_id='a',
            kind=instance_list.Kind.engine,
            address='127.0.0.1:1',
            failure_domain=ids.FailureDomain('x'),
        ),
        clock.MonotonicClock(),
    )
    server.record_load(0, 0, 1)
    return server


def request_of(
    name: str, whole_answer_ms: float
) -> dispatch_request.ModelRequest:
    return dispatch_request.ModelRequest(
        path='/v1/completions',
        payload={'model': MODEL},
        request_id=ids.RequestId(name),
        profile=profile.Profile(
            name=ids.ProfileName('p'),
            targets=target.Targets(
                first_token_ms=1,
                between_tokens_ms=1,
                whole_answer_ms=whole_answer_ms,
            ),
        ),
        fingerprint=0,
        arrived_at=clock.MonotonicClock().now(),
    )


def queue_on(
    servers: list[backend_server.BackendServer],
    queue_limit: int = 8,
) -> dispatch_queue.DispatchQueue:
    return dispatch_queue.DispatchQueue(
        servers_of=lambda model: servers,
        router=router.Router(failure_domain=ids.FailureDomain('x'), seed=1),
        clock=clock.MonotonicClock(),
        queue_limit=queue_limit,
    )


def test_most_urgent_goes_first() -> None:
    async def run() -> list[str]:
        server = engine_server()
        queue = queue_on([server])
        order: list[str] = []

        async def reserve(request: dispatch_request.ModelRequest) -> None:
            await queue.reserve(request)
            order.append(request.request_id)

        holders = 0
        while queue._try_reserve(request_of('holder', 1e6), crashes=0):
            holders += 1
        tasks = [
            asyncio.create_task(reserve(request_of(name, whole_answer_ms)))
            for name, whole_answer_ms in (
                ('late', 9e6),
                ('soon', 1e6),
                ('mid', 5e6),
            )
        ]
        while queue.waiting(MODEL) < len(tasks):
            await asyncio.sleep(0)
        for _ in tasks:
            queue.release(server, MODEL)
        await asyncio.gather(*tasks)
        assert holders == server.in_flight
        return order

    assert asyncio.run(run()) == ['soon', 'mid', 'late']


@pytest.mark.parametrize(
    ('servers', 'queue_limit', 'whole_answer_ms', 'code'),
    [
        ([], 0, 1e6, refusal.Code.overloaded),
        ([], 8, 1, refusal.Code.not_in_time),
    ],
)
def test_refusal(
    servers: list[backend_server.BackendServer],
    queue_limit: int,
    whole_answer_ms: float,
    code: refusal.Code,
) -> None:
    async def run() -> dispatch_queue.DispatchQueue:
        queue = queue_on(servers, queue_limit)
        with pytest.raises(refusal.Refused) as caught:
            await queue.reserve(request_of('r', whole_answer_ms))
        assert caught.value.refusal.code is code
        assert caught.value.refusal.run_state is refusal.RunState.did_not_run
        assert caught.value.refusal.retry_after_s is not None
        return queue

    assert asyncio.run(run()).waiting(MODEL) == 0


def test_cancelled_waiter_leaves_nothing_behind() -> None:
    async def run() -> None:
        server = engine_server()
        queue = queue_on([server])
        while queue._try_reserve(request_of('holder', 1e6), crashes=0):
            pass
        held = server.in_flight
        task = asyncio.create_task(queue.reserve(request_of('gone', 1e6)))
        while not queue.waiting(MODEL):
            await asyncio.sleep(0)
        queue.release(server, MODEL)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert server.in_flight == held - 1
        assert not queue.waiting(MODEL)

    asyncio.run(run())


def test_waiting_suspects_run_one_at_a_time() -> None:
    async def run() -> None:
        server = engine_server()
        server.record_load(0, 0, 4)
        servers: list[backend_server.BackendServer] = []
        queue = queue_on(servers)
        waiting = {
            crashes: asyncio.create_task(
                queue.reserve(request_of(f'{crashes}', 5000), crashes=crashes)
            )
            for crashes in (2, 1, 0)
        }
        await asyncio.sleep(0)
        servers.append(server)
        queue.assign_waiting()
        await asyncio.wait([waiting[0], waiting[1]])
        assert not waiting[2].done()
        assert server.suspect_count == 1
        server.suspect_count -= 1
        queue.release(server, MODEL)
        assert await waiting[2] is server

    asyncio.run(run())
