"""Run an instance on the users' platform."""

import asyncio
import os
import signal
import time

import prometheus_client
from tornado import httpserver, web

from oatcrank import logs
from oatcrank.cluster import instance, peer_handlers
from oatcrank.platform import (
    codec,
    dialect,
    directory,
    orders,
    settings,
    store_client,
)

SETTINGS_LOOK_S = 2.0


class MetricsHandler(web.RequestHandler):
    """Show counters and histograms as text."""

    def get(self) -> None:
        """Return the page."""
        self.set_header('Content-Type', prometheus_client.CONTENT_TYPE_LATEST)
        self.write(prometheus_client.generate_latest())


async def serve(
    path: str,
    metrics_port: int,
    read_tokens_per_s: float,
) -> None:
    """Serve by the settings at a path until told to stop."""
    chosen = settings.read(path)
    told = asyncio.Event()
    reload = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, told.set)
    loop.add_signal_handler(signal.SIGINT, told.set)
    loop.add_signal_handler(signal.SIGHUP, reload.set)
    logs.event(
        'start',
        instance=chosen.node_name,
        front=chosen.listen.front,
        process_s=round(time.process_time(), 3),
    )
    serving = _instance(chosen, read_tokens_per_s)
    _listen(serving, chosen, metrics_port)
    host, _, port = chosen.listen.front.rpartition(':')
    await serving.start(host, int(port))
    following = asyncio.ensure_future(_follow(path, chosen, reload, serving))
    await told.wait()
    logs.event('stop_begins')
    following.cancel()
    await serving.stop()
    logs.event('stop')


def _instance(
    chosen: settings.Settings,
    read_tokens_per_s: float,
) -> instance.Instance:
    return instance.Instance(
        chosen.member(int(time.time() * 1000)),
        chosen.shared_bounds(),
        instance.Ports(
            store=store_client.PlatformStore(chosen.platform.address),
            codec=codec.PlatformCodec(),
            dialect=dialect.PlatformDialect(),
            sender=orders.WorkerOrders(),
        ),
        read_tokens_per_s,
    )


def _listen(
    serving: instance.Instance,
    chosen: settings.Settings,
    metrics_port: int,
) -> None:
    asked = directory.handlers(serving)
    _open(chosen.listen.directory, asked)
    _open(chosen.listen.ready, asked)
    _open(chosen.listen.control, peer_handlers.handlers(serving.peer))
    _open(f'{chosen.ip}:{metrics_port}', [('/metrics', MetricsHandler, {})])


def _open(address: str, handlers: list[peer_handlers.Route]) -> None:
    host, _, port = address.rpartition(':')
    server = httpserver.HTTPServer(
        web.Application(handlers, log_function=_quiet),
    )
    server.listen(int(port), host)


def _quiet(_: web.RequestHandler) -> None:
    """Log no line for each call; what matters is logged where it happens."""


async def _follow(
    path: str,
    chosen: settings.Settings,
    reload: asyncio.Event,
    serving: instance.Instance,
) -> None:
    """Read the settings anew on SIGHUP, and when the file has changed.

    Bounds are kept from then on, all else from the next start.
    """
    seen = _stamp(path)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_LOOK_S):
                await reload.wait()
        except TimeoutError:
            if _stamp(path) == seen:
                continue
        reload.clear()
        seen = _stamp(path)
        try:
            newest = settings.read(path)
        except settings.errors.SettingsError as error:
            logs.event('reload_failed', error=error)
            continue
        logs.event(
            'reload',
            changed=newest != chosen,
            bounds_changed=newest.bounds != chosen.bounds,
        )
        chosen = newest
        serving.renew(chosen.shared_bounds())


def _stamp(path: str) -> int:
    try:
        return os.stat(path).st_mtime_ns
    except OSError as error:
        logs.event('settings_unseen', error=error)
        return 0
