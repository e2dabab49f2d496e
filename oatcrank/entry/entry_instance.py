"""Assemble and run one entry instance."""

import asyncio
import contextlib
from typing import Any

import msgspec
from tornado import netutil, web

from oatcrank import background, logs
from oatcrank.claims import claim_handlers
from oatcrank.configuration import operator_handlers
from oatcrank.entry import (
    _entry_control,
    _entry_platform,
    _entry_serving,
    address_handler,
    body_limit,
    completion_handler,
    exclusive_run_handlers,
    service_handler,
    unknown_handler,
)
from oatcrank.membership import internal_handlers
from oatcrank.settings import settings
from oatcrank.transport import bounded_server, process_budget

MS_PER_S = 1000
ASSIGN_PERIOD_S = 0.05
LEAVE_PROPAGATION_S = 1.0
# Time to write the refusals of the requests that a stop ends.
REFUSAL_TIME_S = 0.5
# When another instance is lost, its callers reconnect here all at once.
LISTEN_BACKLOG = 4096
MAX_HEAD_BYTES = 65_536
IDLE_TIMEOUT_S = 3600.0


class EntryInstance:
    """Run one entry instance from its start to its planned stop."""

    def __init__(self, settings: settings.Settings) -> None:
        """Set up; nothing runs before start."""
        self.settings = settings
        self.platform = _entry_platform.EntryPlatform(settings)
        self._background = background.Background(self.platform.metrics)
        self._server: bounded_server.BoundedServer

    async def start(self) -> None:
        """Join the membership, listen and start the background tasks."""
        await self.platform.join()
        self.serving = _entry_serving.build(self.platform)
        self.control = _entry_control.EntryControl(self.platform, self.serving)
        self._listen()
        platform = self.platform
        self._background.start('changes', platform.follower.run)
        self._background.start('membership', platform.membership.run)
        self._background.start('servers', self._poll_servers)
        self._background.start('lease', self.control.lease.run)
        self._background.start('control', self.control.pool_manager.run)
        self._background.start('demand', self.control.demand_sender.run)
        self._background.start('queue', self._assign_waiting)
        logs.event('started', address=self.settings.address)

    async def stop(self) -> None:
        """Leave the membership, finish running requests, then stop."""
        logs.event('leaving')
        self.platform.membership.leave()
        self._background.start('lease_release', self.control.lease.release)
        await asyncio.sleep(
            self.settings.limits.address_keep_s + LEAVE_PROPAGATION_S,
        )
        self.serving.accepting = False
        await self._finish_running()
        self._server.stop()
        await self._background.close()
        await self.serving.at_most_once_runner.close()
        self.platform.close()
        logs.event('stopped')

    async def _finish_running(self) -> None:
        grace_s = self.settings.limits.stop_grace_s
        try:
            async with asyncio.timeout(grace_s):
                await self.serving.wait_until_idle()
                await self.serving.at_most_once_runner.drain()
        except TimeoutError:
            logs.event('stop_grace_exceeded', running=self.serving.running)
            await self._refuse_running()

    async def _refuse_running(self) -> None:
        """Refuse the requests in progress, which the stop would cut off."""
        self.serving.give_up()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REFUSAL_TIME_S):
                await self.serving.wait_until_idle()

    async def _poll_servers(self) -> None:
        period_s = self.settings.platform.list_period_ms / MS_PER_S
        await self.platform.servers.run(period_s)

    async def _assign_waiting(self) -> None:
        while True:
            self.serving.queue.assign_waiting()
            await asyncio.sleep(ASSIGN_PERIOD_S)

    def _listen(self) -> None:
        limits = self.settings.limits
        budget = process_budget.ProcessBudget(
            process_budget.Limits(
                memory_mb=limits.memory_mb, descriptors=limits.descriptors
            )
        )
        self._server = bounded_server.BoundedServer(
            body_limit.BodyLimit(
                web.Application(
                    self._routes(),
                    default_handler_class=unknown_handler.UnknownHandler,
                ),
                limit_bytes=limits.body_bytes,
            ),
            group=budget.callers,
            limits=bounded_server.RequestLimits(
                max_head_bytes=MAX_HEAD_BYTES,
                max_body_bytes=limits.body_bytes * body_limit.READ_LIMIT_FACTOR,
                body_timeout_s=None,
                idle_timeout_s=IDLE_TIMEOUT_S,
            ),
        )
        listen = self.settings.listen
        sockets = netutil.bind_sockets(
            listen.port,
            listen.host,
            backlog=LISTEN_BACKLOG,
        )
        self._server.add_sockets(sockets)

    def _routes(self) -> list[Any]:
        dependencies = {'dependencies': self.serving}
        return [
            ('/v1/addresses', address_handler.AddressHandler, dependencies),
            (
                '/v1(?:/chat)?/completions',
                completion_handler.CompletionHandler,
                dependencies,
            ),
            (
                '/v1/services/([^/]+)/(.*)',
                service_handler.ServiceHandler,
                dependencies,
            ),
            *operator_handlers.routes(self._operator_dependencies()),
            *internal_handlers.routes(
                self.platform.membership,
                self.platform.change_log,
            ),
            *claim_handlers.routes(self.serving.claims),
            *exclusive_run_handlers.routes(self.serving.exclusive_runs),
            *self.control.routes(),
        ]

    def _operator_dependencies(self) -> operator_handlers.OperatorDependencies:
        return operator_handlers.OperatorDependencies(
            log=self.platform.change_log,
            snapshots=self.platform.snapshots,
            writer=self.platform.writer,
            follower=self.platform.follower,
            membership=self.platform.membership,
            sections=self._sections,
        )

    def _sections(self) -> dict[str, Any]:
        plans = self.control.plans.plan_by_pool.values()
        return {
            'controls': self.control.lease.held_fence() is not None,
            'plans': [msgspec.to_builtins(pool_plan) for pool_plan in plans],
            'running': self.serving.running,
        }
