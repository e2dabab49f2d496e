"""Test that a launcher starts, signals and stops processes."""

import asyncio
import json

import pytest

from emulator import (
    launch_error,
    launched_process,
    launcher,
    plain_service_config,
    site_configs,
    sites,
)
from oatcrank import errors, ids, rpc
from oatcrank.engines import engine_http, order

CONFIG = plain_service_config.PlainServiceConfig(server_id='s', service='b')
CRASH_STATUS = 70


async def post(
    process: launched_process.LaunchedProcess, path: str, body: bytes
) -> bytes:
    return await rpc.Rpc().fetch(
        process.address, 'POST', path, body, timeout_s=5
    )


async def wait_until_loaded(client: engine_http.HttpModelEngine) -> None:
    is_ready = False
    while not is_ready:
        report = await client.report(timeout_s=5)
        is_ready = any(held.ready for held in report.held)


async def call(process: launched_process.LaunchedProcess, body: bytes) -> bytes:
    return await rpc.Rpc().fetch(
        process.address, 'POST', '/book', body, timeout_s=0.5
    )


def test_stops_started_processes() -> None:
    async def run() -> list[launched_process.LaunchedProcess]:
        async with launcher.Launcher() as process_launcher:
            services = [
                await process_launcher.start_stand_in('plain-service', CONFIG)
                for _ in range(2)
            ]
            services[0].pause()
            with pytest.raises(errors.UnknownOutcome):
                await call(services[0], b'{}')
            services[0].resume()
            await call(services[0], b'{}')
            await services[1].kill()
        return services

    assert not any(process.is_running for process in asyncio.run(run()))


def test_crash() -> None:
    async def run() -> int:
        async with launcher.Launcher() as process_launcher:
            service = await process_launcher.start_stand_in(
                'plain-service', CONFIG
            )
            await post(service, '/control/faults', b'{"crash_on": "poison"}')
            with pytest.raises(errors.UnknownOutcome):
                await call(service, b'poison')
            return await service.wait()

    assert asyncio.run(run()) == CRASH_STATUS


def test_engine_crashes_while_running() -> None:
    async def run() -> int:
        async with launcher.Launcher() as process_launcher:
            chosen = sites.SITE_BY_NAME['trilha']
            store = await process_launcher.start_stand_in(
                'weight-store', site_configs.weight_store_of(chosen)
            )
            pool = chosen.pools[0]
            config = site_configs.engines_of(pool, store.address)[0]
            engine = await process_launcher.start_stand_in('engine', config)
            client = engine_http.HttpModelEngine(
                rpc.Rpc(), engine.address, timeout_s=5
            )
            await client.order(
                order.Order(
                    order_id=ids.OrderId('o'),
                    fence=ids.Fence(1),
                    kind=order.OrderKind.load_model,
                    model=pool.models[0],
                ),
                timeout_s=5,
            )
            await post(engine, '/control/faults', b'{"crash_on": "poison"}')
            body = b'{"model": "%b", "prompt": "poison"}'
            request_body = body % pool.models[0].encode()
            await wait_until_loaded(client)
            with pytest.raises(errors.UnknownOutcome):
                await post(engine, '/v1/completions', request_body)
            return await engine.wait()

    assert asyncio.run(run()) == CRASH_STATUS


def test_failed_start() -> None:
    async def run() -> None:
        async with launcher.Launcher() as process_launcher:
            await process_launcher.start_stand_in('engine', CONFIG)

    with pytest.raises(launch_error.LaunchError):
        asyncio.run(run())


def test_answer_echoes_body() -> None:
    async def run() -> bytes:
        async with launcher.Launcher() as process_launcher:
            service = await process_launcher.start_stand_in(
                'plain-service', CONFIG
            )
            return await call(service, b'{"bay": 4}')

    assert json.loads(asyncio.run(run()))['body'] == '{"bay": 4}'
