"""Check the effect of an interrupted attempt on its server."""

import asyncio

import pytest
import suspects_site

from oatcrank import clock, errors, ids, metrics, refusal
from oatcrank.configuration import profile, target
from oatcrank.engines import backend_server
from oatcrank.entry import (
    crash_suspects,
    dispatch_request,
    dispatcher,
    response_writer,
    retry_budget,
)
from oatcrank.membership import instance_list


class FailingWriter(response_writer.ResponseWriter):
    """Fail on any write."""

    def write_head(self, status: int, content_type: str) -> None:
        raise AssertionError

    def write(self, chunk: bytes) -> None:
        raise AssertionError


class InterruptingDispatcher(dispatcher.Dispatcher):
    """Dispatch to one server, which interrupts every attempt."""

    def __init__(self, clock: clock.Clock, *, alive: bool) -> None:
        super().__init__(
            suspects=crash_suspects.CrashSuspects(
                limit=3, clock=clock, publish=lambda counts: None
            ),
            exclusive_runs=suspects_site.LocalRuns(clock),
            budget=retry_budget.RetryBudget(0),
            clock=clock,
            metrics=metrics.NoMetrics(),
        )
        self.alive = alive
        self.server = backend_server.BackendServer(
            instance_list.Instance(
                instance_id='a',
                kind=instance_list.Kind.engine,
                address='127.0.0.1:1',
                failure_domain=ids.FailureDomain('x'),
            ),
            clock,
        )

    async def _reserve(
        self, request: dispatch_request.DispatchRequest, *, crashes: int
    ) -> backend_server.BackendServer:
        self.server.in_flight += 1
        return self.server

    def _release(
        self,
        server: backend_server.BackendServer,
        request: dispatch_request.DispatchRequest,
    ) -> None:
        server.in_flight -= 1

    async def _send(
        self,
        server: backend_server.BackendServer,
        request: dispatch_request.DispatchRequest,
        writer: response_writer.ResponseWriter,
    ) -> None:
        raise errors.Interrupted('cut')

    async def _is_alive(self, server: backend_server.BackendServer) -> bool:
        return self.alive


@pytest.mark.parametrize('alive', [True, False])
def test_crashed_server_is_probed_by_one_request(alive: bool) -> None:
    manual_clock = clock.ManualClock()
    interrupting = InterruptingDispatcher(manual_clock, alive=alive)
    request = dispatch_request.DispatchRequest(
        request_id=ids.RequestId('r'),
        profile=profile.Profile(
            name=ids.ProfileName('p'),
            targets=target.Targets(
                first_token_ms=1, between_tokens_ms=1, whole_answer_ms=1e6
            ),
            at_most_once=True,
        ),
        fingerprint=7,
        arrived_at=0,
    )
    with pytest.raises(refusal.Refused):
        asyncio.run(interrupting.run(request, FailingWriter()))
    manual_clock.advance(60)
    assert interrupting.server.usable
    interrupting.server.in_flight += 1
    assert interrupting.server.usable is alive
