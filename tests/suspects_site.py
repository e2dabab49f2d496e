"""Simulate instances that share engines, one request of which crashes them."""

import asyncio
import itertools
import random

import virtual

from emulator import virtual_time_loop
from oatcrank import clock, errors, ids, metrics, refusal
from oatcrank.configuration import profile, target
from oatcrank.engines import backend_server
from oatcrank.entry import (
    crash_suspects,
    dispatch_queue,
    dispatch_request,
    dispatcher,
    exclusive_run,
    exclusive_run_table,
    exclusive_runs,
    retry_budget,
    router,
)
from oatcrank.membership import instance_list

LIMIT = 3
CRASHING = 666
DOMAINS = ('d-a', 'd-b', 'd-c')
RUN_S = 0.2
CRASH_AFTER_S = 0.02
RESTART_S = 0.4
CONNECT_S = 0.001
# Time in which a document reaches the other instances.
PROPAGATION_S = 0.2
CALLER_PAUSE_S = 0.05
PROFILE = profile.Profile(
    name=ids.ProfileName('talk'),
    models=('m-one',),
    adapters=(),
    services=(),
    targets=target.Targets(
        first_token_ms=2000, between_tokens_ms=100, whole_answer_ms=30_000
    ),
)


class Engine:
    """Engine that a crashing request ends, and that starts again."""

    def __init__(self, name: str, domain: str) -> None:
        self.listed = instance_list.Instance(
            instance_id=name,
            kind=instance_list.Kind.engine,
            address=f'{name}:1',
            failure_domain=domain,
        )
        self.crashes = 0
        self.is_up = True
        self._running: set[asyncio.Future] = set()

    async def run(self, fingerprint: int) -> None:
        await asyncio.sleep(CONNECT_S)
        if not self.is_up:
            raise errors.NotStarted('connection refused')
        loop = asyncio.get_running_loop()
        end = loop.create_future()
        self._running.add(end)
        if fingerprint == CRASHING:
            loop.call_later(CRASH_AFTER_S, self._crash)
        else:
            loop.call_later(RUN_S, _finish, end)
        try:
            await end
        finally:
            self._running.discard(end)

    def _crash(self) -> None:
        if not self.is_up:
            return
        self.crashes += 1
        self.is_up = False
        for end in self._running:
            if not end.done():
                end.set_exception(errors.Interrupted('connection reset'))
        asyncio.get_running_loop().call_later(RESTART_S, self._restart)

    def _restart(self) -> None:
        self.is_up = True


def _loop_clock() -> clock.Clock:
    return virtual_time_loop.LoopClock(asyncio.get_running_loop())


def _finish(end: asyncio.Future) -> None:
    if not end.done():
        end.set_result(None)


class LocalRuns(exclusive_runs.ExclusiveRuns):
    """Grant the exclusive runs of all simulated instances."""

    def __init__(self, table_clock: clock.Clock) -> None:
        self._table = exclusive_run_table.ExclusiveRunTable(table_clock)
        self._holders = itertools.count()

    async def begin(self, server, duration_s):
        await asyncio.sleep(CONNECT_S)
        run = exclusive_run.ExclusiveRun(
            server=server,
            holder=str(next(self._holders)),
            duration_s=duration_s,
        )
        return run if self._table.begin(run) else None

    async def end(self, run) -> None:
        await asyncio.sleep(CONNECT_S)
        self._table.end(run)


class EngineDispatcher(dispatcher.Dispatcher):
    """Dispatch to simulated engines."""

    def __init__(self, queue, engine_by_id, **common) -> None:
        super().__init__(**common)
        self._queue = queue
        self._engine_by_id = engine_by_id

    async def _reserve(self, request, *, crashes):
        return await self._queue.reserve(request, crashes=crashes)

    def _release(self, server, request) -> None:
        self._queue.release(server, request.model)

    async def _send(self, server, request, writer) -> None:
        engine = self._engine_by_id[server.listed.instance_id]
        await engine.run(request.fingerprint)

    async def _is_alive(self, server) -> bool:
        return self._engine_by_id[server.listed.instance_id].is_up


class SuspectsSite:
    """Instances of which each has its own suspects and queue."""

    def __init__(self, seed: int, instances: int = 3) -> None:
        self.rng = random.Random(seed)
        self.engines = [
            Engine(f'engine-{number}', domain)
            for number, domain in enumerate(DOMAINS)
        ]
        self.suspects: list[crash_suspects.CrashSuspects] = []
        self._exclusive_runs = LocalRuns(_loop_clock())
        self.dispatchers = [
            self._dispatcher(number) for number in range(instances)
        ]
        self.refused: list[int] = []

    @property
    def crashes(self) -> int:
        return sum(engine.crashes for engine in self.engines)

    async def call(self, number: int, fingerprint: int) -> bool:
        """Send a request to an instance; return whether it was answered."""
        request = dispatch_request.ModelRequest(
            path='/v1/completions',
            payload={'model': 'm-one'},
            request_id=ids.RequestId(f'r{fingerprint}'),
            profile=PROFILE,
            fingerprint=fingerprint,
            arrived_at=asyncio.get_running_loop().time(),
        )
        try:
            await self.dispatchers[number].run(request, None)
        except refusal.Refused as refused:
            if refused.refusal.code is refusal.Code.crashes_backend_servers:
                self.refused.append(fingerprint)
            return False
        return True

    async def call_until_answered(self, fingerprint: int) -> None:
        """Send a request to any instance until it is answered."""
        while fingerprint not in self.refused:
            number = self.rng.randrange(len(self.dispatchers))
            if await self.call(number, fingerprint):
                return
            await asyncio.sleep(CALLER_PAUSE_S)

    async def call_again_and_again(self, first: int) -> None:
        """Send one request after another, each until it is answered."""
        for number in range(1000):
            await asyncio.sleep(self.rng.random() * CALLER_PAUSE_S)
            await self.call_until_answered(first + number)

    async def call_until_refused(self, number: int, fingerprint: int) -> None:
        """Send a request to one instance until it is refused for crashes."""
        while fingerprint not in self.refused:
            assert not await self.call(number, fingerprint)
            await asyncio.sleep(CALLER_PAUSE_S)

    def _dispatcher(self, number: int) -> EngineDispatcher:
        loop_clock = _loop_clock()
        servers = [
            backend_server.BackendServer(engine.listed, loop_clock)
            for engine in self.engines
        ]
        suspects = crash_suspects.CrashSuspects(
            limit=LIMIT,
            clock=loop_clock,
            publish=lambda counts: self._publish(number, counts),
        )
        self.suspects.append(suspects)
        queue = dispatch_queue.DispatchQueue(
            servers_of=lambda model: servers,
            router=router.Router(
                failure_domain=DOMAINS[number % len(DOMAINS)],
                seed=self.rng.randrange(1000),
            ),
            clock=loop_clock,
            queue_limit=64,
        )
        return EngineDispatcher(
            queue,
            {engine.listed.instance_id: engine for engine in self.engines},
            suspects=suspects,
            exclusive_runs=self._exclusive_runs,
            budget=retry_budget.RetryBudget(0.1),
            clock=loop_clock,
            metrics=metrics.NoMetrics(),
        )

    def _publish(self, number: int, counts) -> None:
        loop = asyncio.get_running_loop()
        for other, suspects in enumerate(self.suspects):
            if other != number:
                loop.call_later(
                    PROPAGATION_S,
                    suspects.update_from_peer,
                    f'instance-{number}',
                    counts,
                )


def run(scenario, seed: int) -> SuspectsSite:
    """Run a scenario in virtual time and return its site."""

    async def run_scenario():
        site = SuspectsSite(seed)
        await scenario(site)
        return site

    return virtual.run(run_scenario())
