"""Check that processes start, fail and end as asked."""

import asyncio
import json

import pytest

from emulator import (
    launch_error,
    launched,
    launcher,
    plain_service_config,
)
from oatcrank import errors, rpc

CONFIG = plain_service_config.PlainServiceConfig(server_id='s', service='b')
CRASH_STATUS = 70


async def call(started: launched.Launched, body: bytes) -> bytes:
    return await rpc.Rpc().fetch(
        started.address, 'POST', '/book', body, timeout_s=0.5
    )


def test_ends_what_it_started() -> None:
    async def run() -> list[launched.Launched]:
        async with launcher.Launcher() as started:
            both = [
                await started.stand_in('plain-service', CONFIG)
                for _ in range(2)
            ]
            both[0].pause()
            with pytest.raises(errors.UnknownOutcome):
                await call(both[0], b'{}')
            both[0].resume()
            await call(both[0], b'{}')
            await both[1].kill()
        return both

    assert not any(process.is_running for process in asyncio.run(run()))


def test_crash() -> None:
    async def run() -> int:
        async with launcher.Launcher() as started:
            service = await started.stand_in('plain-service', CONFIG)
            await rpc.Rpc().fetch(
                service.address,
                'POST',
                '/control/faults',
                b'{"crash_on": "poison"}',
                timeout_s=5,
            )
            with pytest.raises(errors.UnknownOutcome):
                await call(service, b'poison')
            return await service.wait()

    assert asyncio.run(run()) == CRASH_STATUS


def test_bad_start() -> None:
    async def run() -> None:
        async with launcher.Launcher() as started:
            await started.stand_in('engine', CONFIG)

    with pytest.raises(launch_error.LaunchError):
        asyncio.run(run())


def test_answer_echoes() -> None:
    async def run() -> bytes:
        async with launcher.Launcher() as started:
            service = await started.stand_in('plain-service', CONFIG)
            return await call(service, b'{"bay": 4}')

    assert json.loads(asyncio.run(run()))['body'] == '{"bay": 4}'
