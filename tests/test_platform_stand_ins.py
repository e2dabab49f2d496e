"""Check the stand-ins of instance list, weight store and services."""

import asyncio
from typing import Any

import msgspec
import pytest

from emulator import (
    instance_list_app,
    instance_list_config,
    plain_service,
    plain_service_app,
    plain_service_config,
    shared_link,
    stand_in,
    timed_store,
    weight_load,
    weight_store_config,
)
from oatcrank import errors, ids, rpc
from oatcrank.membership import instance_list
from oatcrank.store import instance_list_http

INSTANCE = instance_list.Instance(
    instance_id='e',
    kind=instance_list.Kind.engine,
    address='127.0.0.1:1',
    failure_domain=ids.FailureDomain('d'),
)


@pytest.mark.parametrize(('lag_s', 'shown'), [(0, ()), (3600, (INSTANCE,))])
def test_list_lags(lag_s: float, shown: tuple[Any, ...]) -> None:
    async def run() -> tuple[instance_list.Instance, ...]:
        app = instance_list_app.make_app(
            instance_list_config.InstanceListConfig(
                lag_s=lag_s, instances=(INSTANCE,)
            )
        )
        calls = rpc.Rpc()
        async with stand_in.listening(app) as address:
            await calls.fetch(
                address, 'POST', '/control/instances', b'{}', timeout_s=5
            )
            client = instance_list_http.HttpInstanceList(
                calls, address, timeout_s=5
            )
            return await client.read()

    assert asyncio.run(run()) == shown


@pytest.mark.parametrize(
    ('faults', 'error', 'runs'),
    [
        ({}, None, 1),
        ({'cut_before': 1}, errors.UnknownOutcome, 0),
        ({'cut_after': 1}, errors.UnknownOutcome, 1),
        ({'leaving': True}, rpc.RpcStatusError, 0),
    ],
)
def test_service_faults(
    faults: dict[str, Any],
    error: type[Exception] | None,
    runs: int,
) -> None:
    async def run() -> plain_service.PlainService:
        service = plain_service.PlainService(
            plain_service_config.PlainServiceConfig(
                server_id='s', service='bookings'
            )
        )
        service.faults.merge(faults)
        app = plain_service_app.make_app(service)
        async with stand_in.listening(app) as address:
            call = rpc.Rpc().fetch(address, 'POST', '/book', b'{}', timeout_s=5)
            if error is None:
                await call
                return service
            with pytest.raises(error):
                await call
        return service

    assert len(asyncio.run(run()).ledger.page().entries) == runs


@pytest.mark.parametrize(('transfers', 'floor_s'), [(2, 0.1), (4, 0.2)])
def test_transfers_slow_each_other(transfers: int, floor_s: float) -> None:
    async def run() -> float:
        link = shared_link.SharedLink(2)
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        await asyncio.gather(*(link.transfer(0.1) for _ in range(transfers)))
        return loop.time() - start_s

    assert asyncio.run(run()) >= floor_s


def test_load_starts_keep_their_rate() -> None:
    async def run() -> float:
        start_s = asyncio.get_running_loop().time()
        store = timed_store.TimedStore(
            weight_store_config.WeightStoreConfig(
                loads_per_s=20,
                concurrent=8,
                model_load_s=0.01,
                adapters_in_transit=1,
                adapter_min_ms=1,
                adapter_max_ms=1,
            )
        )
        load = weight_load.WeightLoad(server_id='s', model='m')
        await asyncio.gather(*(store.transfer(load) for _ in range(4)))
        return asyncio.get_running_loop().time() - start_s

    assert asyncio.run(run()) >= 3 / 20


def test_unknown_fault_is_refused() -> None:
    async def run() -> int:
        service = plain_service.PlainService(
            plain_service_config.PlainServiceConfig(
                server_id='s', service='bookings'
            )
        )
        app = plain_service_app.make_app(service)
        async with stand_in.listening(app) as address:
            with pytest.raises(rpc.RpcStatusError, match='status 400'):
                await rpc.Rpc().fetch(
                    address,
                    'POST',
                    '/control/faults',
                    msgspec.json.encode({'no_such': 1}),
                    timeout_s=5,
                )
        return len(service.ledger.page().entries)

    assert asyncio.run(run()) == 0
