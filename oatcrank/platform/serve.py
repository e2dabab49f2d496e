"""Run an instance on the users' platform."""

import asyncio
import os
import signal
import time

import prometheus_client
from tornado import web

from oatcrank import logs
from oatcrank.cluster import instance, instance_dependencies, peer_handlers
from oatcrank.platform import (
    codec,
    directory,
    platform_protocol,
    settings,
    store_client,
    worker_order_sender,
)
from oatcrank.transport import bounded_server, process_budget

SETTINGS_POLL_S = 2.0


class MetricsHandler(web.RequestHandler):
    """Prometheus metrics in text format."""

    def get(self) -> None:
        """Return all metrics."""
        self.set_header('Content-Type', prometheus_client.CONTENT_TYPE_LATEST)
        self.write(prometheus_client.generate_latest())


async def serve(
    path: str,
    metrics_port: int,
    read_tokens_per_s: float,
) -> None:
    """Serve with the settings at a path until SIGTERM or SIGINT."""
    current_settings = settings.read(path)
    stop_requested = asyncio.Event()
    reload_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    logs.event(
        'start',
        instance=current_settings.node_name,
        front=current_settings.listen.front,
        process_s=round(time.process_time(), 3),
    )
    budget = process_budget.ProcessBudget(current_settings.process_limits())
    serving = _instance(current_settings, read_tokens_per_s, budget)
    _listen(serving, current_settings, metrics_port, budget)
    host, _, port = current_settings.listen.front.rpartition(':')
    await serving.start(host, int(port))
    reloading = asyncio.ensure_future(
        _reload_settings(path, current_settings, reload_requested, serving),
    )
    await stop_requested.wait()
    logs.event('stop_begins')
    reloading.cancel()
    await serving.stop()
    logs.event('stop')


def _instance(
    current_settings: settings.Settings,
    read_tokens_per_s: float,
    budget: process_budget.ProcessBudget,
) -> instance.Instance:
    return instance.Instance(
        current_settings.member(int(time.time() * 1000)),
        current_settings.shared_bounds(),
        instance_dependencies.InstanceDependencies(
            store=store_client.PlatformStore(current_settings.platform.address),
            codec=codec.PlatformCodec(),
            wire_protocol=platform_protocol.PlatformProtocol(),
            sender=worker_order_sender.WorkerOrderSender(),
            budget=budget,
        ),
        read_tokens_per_s,
    )


def _listen(
    serving: instance.Instance,
    current_settings: settings.Settings,
    metrics_port: int,
    budget: process_budget.ProcessBudget,
) -> None:
    platform_routes = directory.handlers(serving)
    _open(current_settings.listen.directory, platform_routes, budget)
    _open(current_settings.listen.ready, platform_routes, budget)
    _open(
        current_settings.listen.control,
        peer_handlers.handlers(serving.peer, serving.relay),
        budget,
    )
    _open(
        f'{current_settings.ip}:{metrics_port}',
        [('/metrics', MetricsHandler, {})],
        budget,
    )


def _open(
    address: str,
    handlers: list[peer_handlers.Route],
    budget: process_budget.ProcessBudget,
) -> None:
    host, _, port = address.rpartition(':')
    server = bounded_server.BoundedServer(
        web.Application(handlers, log_function=_log_nothing),
        group=budget.control,
    )
    server.listen(int(port), host)


def _log_nothing(_: web.RequestHandler) -> None:
    """Disable the request log; handlers log events themselves."""


async def _reload_settings(
    path: str,
    current_settings: settings.Settings,
    reload_requested: asyncio.Event,
    serving: instance.Instance,
) -> None:
    """Reload the settings on SIGHUP and when the file has changed.

    Changed bounds apply at once, other settings after a restart.
    """
    known_mtime_ns = _mtime_ns(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_S):
                await reload_requested.wait()
        except TimeoutError:
            if _mtime_ns(path) == known_mtime_ns:
                continue
        reload_requested.clear()
        known_mtime_ns = _mtime_ns(path)
        try:
            reloaded_settings = settings.read(path)
        except settings.errors.SettingsError as error:
            logs.event('reload_failed', error=error)
            continue
        logs.event(
            'reload',
            changed=reloaded_settings != current_settings,
            bounds_changed=reloaded_settings.bounds != current_settings.bounds,
        )
        current_settings = reloaded_settings
        serving.update_bounds(current_settings.shared_bounds())


def _mtime_ns(path: str) -> int:
    try:
        return os.stat(path).st_mtime_ns
    except OSError as error:
        logs.event('settings_unreadable', error=error)
        return 0
