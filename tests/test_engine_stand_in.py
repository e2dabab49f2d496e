"""Test the protocol and the faults of the engine stand-in."""

import asyncio
import contextlib
import functools
import json
from collections.abc import AsyncIterator
from typing import Any

import pytest
from tornado import httpclient

from emulator import (
    answer_text,
    engine_app,
    engine_batch,
    engine_config,
    poll,
    stand_in,
    stand_in_engine,
    timed_store,
    weight_store_app,
    weight_store_config,
)
from oatcrank import errors, ids, rpc
from oatcrank.engines import engine_http, order
from oatcrank.store import weight_store

MODEL = ids.ModelName('m')
ADAPTER = ids.AdapterName('a')
FAULTS_BY_ENDING = {'cut': {'cut_stream_after': 1}, 'down': {'down': True}}
CATALOGUE = weight_store.Catalogue(
    models=(
        weight_store.ModelWeights(
            name=MODEL, pool=ids.PoolName('p'), memory_mb=80
        ),
        weight_store.ModelWeights(
            name=ids.ModelName('n'), pool=ids.PoolName('p'), memory_mb=80
        ),
    ),
    adapters=(
        weight_store.AdapterWeights(name=ADAPTER, model=MODEL, memory_mb=5),
    ),
)
STORE = weight_store_config.WeightStoreConfig(
    loads_per_s=1000,
    concurrent=4,
    model_load_s=0.01,
    adapters_in_transit=5,
    adapter_min_ms=1,
    adapter_max_ms=2,
    catalogue=CATALOGUE,
)


class EngineHarness:
    """Engine stand-in with its weight store, client and address."""

    def __init__(
        self,
        engine: stand_in_engine.StandInEngine,
        store: timed_store.TimedStore,
        address: str,
    ) -> None:
        self.engine = engine
        self.store = store
        self.address = address
        self.client = engine_http.HttpModelEngine(
            rpc.Rpc(), address, timeout_s=5
        )

    async def send(self, kind: str, fence: int = 1, **fields: Any) -> None:
        fields = {'model': MODEL, **fields}
        new_order = order.Order(
            order_id=ids.OrderId('o'),
            fence=ids.Fence(fence),
            kind=order.OrderKind(kind),
            **fields,
        )
        await self.client.order(new_order, timeout_s=5)

    async def wait_until_loaded(
        self, model: str = MODEL, adapter: str = ''
    ) -> None:
        await poll.until(lambda: self.engine.memory.serves(model, adapter))

    async def ask(self, **fields: Any) -> httpclient.HTTPResponse:
        body = {'model': MODEL, 'prompt': 'hi', 'max_tokens': 4, **fields}
        client = httpclient.AsyncHTTPClient(force_instance=True)
        return await client.fetch(
            f'http://{self.address}/v1/completions',
            method='POST',
            body=json.dumps(body),
            raise_error=False,
        )


@contextlib.asynccontextmanager
async def start_engine(**config: Any) -> AsyncIterator[EngineHarness]:
    store = timed_store.TimedStore(STORE)
    app = weight_store_app.make_app(store)
    async with stand_in.listening(app) as store_address:
        settings: dict[str, Any] = {
            'server_id': 'e',
            'pool': 'p',
            'weight_store': store_address,
            'memory_mb': 100,
            'slots': 2,
            'tokens_per_s': 1000,
            'first_token_ms': 1,
            **config,
        }
        engine = stand_in_engine.StandInEngine(
            engine_config.EngineConfig(**settings)
        )
        batch_task = asyncio.create_task(engine.batch.run())
        async with stand_in.listening(engine_app.make_app(engine)) as address:
            yield EngineHarness(engine, store, address)
        batch_task.cancel()


def events_of(body: bytes) -> list[dict[str, Any]]:
    lines = body.decode().split('\n\n')
    assert lines[-2:] == ['data: [DONE]', '']
    return [json.loads(line.removeprefix('data: ')) for line in lines[:-2]]


@pytest.mark.parametrize('resume_from', [0, 3, 4])
@pytest.mark.parametrize('adapter', ['', ADAPTER])
def test_streams(resume_from: int, adapter: str) -> None:
    async def run() -> httpclient.HTTPResponse:
        async with start_engine() as harness:
            await harness.send('load_model')
            await harness.wait_until_loaded()
            await harness.send('load_adapter', adapter=ADAPTER)
            await harness.wait_until_loaded(adapter=ADAPTER)
            return await harness.ask(
                stream=True, adapter=adapter, resume_from=resume_from
            )

    answer = asyncio.run(run())
    events = events_of(answer.body)
    seed = answer_text.seed(MODEL, adapter, 'hi')
    texts = [answer_text.token(seed, index) for index in range(4)]
    expected = texts[resume_from:]
    assert [event['text'] for event in events if 'text' in event] == expected
    assert events[-1]['digest'] == answer_text.digest(texts)
    assert [event['index'] for event in events if 'index' in event] == list(
        range(resume_from, resume_from + len(expected))
    )
    assert answer.headers['X-Load'] == '1,0,2'


def test_whole_answer() -> None:
    async def run() -> httpclient.HTTPResponse:
        async with start_engine() as harness:
            await harness.send('load_model')
            await harness.wait_until_loaded()
            return await harness.ask()

    answer = json.loads(asyncio.run(run()).body)
    text = answer['choices'][0]['text']
    assert answer['digest'] == answer_text.digest([text])


@pytest.mark.parametrize(
    ('faults', 'status', 'code'),
    [
        ({}, 409, 'not_loaded'),
        ({'leaving': True}, 503, 'leaving'),
    ],
)
def test_refusals(faults: dict[str, Any], status: int, code: str) -> None:
    async def run() -> httpclient.HTTPResponse:
        async with start_engine() as harness:
            harness.engine.faults.merge(faults)
            return await harness.ask()

    answer = asyncio.run(run())
    assert answer.code == status
    assert json.loads(answer.body) == {'code': code}


@pytest.mark.parametrize(('checks', 'held'), [(True, ['m']), (False, [])])
def test_old_fences(checks: bool, held: list[str]) -> None:
    async def run() -> list[str]:
        async with start_engine(checks_fencing=checks) as harness:
            await harness.send('load_model', fence=2)
            await harness.wait_until_loaded()
            with contextlib.suppress(errors.Conflict):
                await harness.send('unload_model', fence=1)
            report = await harness.client.report(timeout_s=5)
            return [held_model.model for held_model in report.held]

    assert asyncio.run(run()) == held


@pytest.mark.parametrize(
    ('faults', 'error', 'held'),
    [
        ({'drop_orders': 1}, None, False),
        ({'lose_order_answers': 1}, errors.UnknownOutcome, True),
        ({'delay_orders_s': 0.05}, None, True),
    ],
)
def test_order_faults(
    faults: dict[str, Any],
    error: type[Exception] | None,
    held: bool,
) -> None:
    async def run() -> bool:
        async with start_engine() as harness:
            harness.engine.faults.merge(faults)
            caught = pytest.raises(error) if error else contextlib.nullcontext()
            with caught:
                await harness.send('load_model')
            if held:
                await harness.wait_until_loaded()
            return harness.engine.memory.serves(MODEL, '')

    assert asyncio.run(run()) is held


def test_duplicated_load_takes_effect_after_unload() -> None:
    async def run() -> None:
        async with start_engine() as harness:
            harness.engine.faults.merge({'double_orders': True})
            await harness.send('load_model')
            await harness.wait_until_loaded()
            harness.engine.faults.merge({'double_orders': False})
            await harness.send('unload_model')
            await poll.until(lambda: not harness.engine.memory.used_mb)
            await harness.wait_until_loaded()

    asyncio.run(run())


def test_failed_load_frees_memory() -> None:
    async def run() -> int:
        async with start_engine() as harness:
            await harness.engine.orders.sizes.read()
            harness.store.faults.merge({'down': True, 'hang_s': 0.05})
            await harness.send('load_model')
            await poll.until(lambda: harness.engine.memory.used_mb > 0)
            await poll.until(lambda: not harness.engine.memory.used_mb)
            return len(harness.engine.memory.excesses)

    assert asyncio.run(run()) == 0


def test_excess_is_recorded() -> None:
    async def run() -> list[int]:
        async with start_engine() as harness:
            for model in ('m', 'n'):
                await harness.send('load_model', model=model)
                await harness.wait_until_loaded(model)
            return [excess.used_mb for excess in harness.engine.memory.excesses]

    assert asyncio.run(run()) == [160]


def has_queued(batch: engine_batch.EngineBatch, count: int) -> bool:
    return len(batch.queued) == count


def test_queue_and_priority() -> None:
    async def run() -> list[str]:
        async with start_engine(
            slots=1, queue_limit=3, tokens_per_s=100
        ) as harness:
            await harness.send('load_model')
            await harness.wait_until_loaded()
            batch = harness.engine.batch
            first = harness.ask(request_id='0', max_tokens=100)
            requests = [asyncio.create_task(first)]
            await poll.until(lambda: len(batch.running) == 1)
            for place, priority in ((1, 2), (2, 1), (3, 0)):
                # Each request arrives before the next one is sent.
                queued = harness.ask(request_id=str(place), priority=priority)
                requests.append(asyncio.create_task(queued))
                await poll.until(functools.partial(has_queued, batch, place))
            busy = await harness.ask()
            await asyncio.gather(*requests)
            entries = batch.ledger.page().entries
            return [
                str(busy.code),
                *(entry.request_id for entry in entries),
            ]

    assert asyncio.run(run()) == ['429', '0', '3', '2', '1']


@pytest.mark.parametrize('ending', ['cancel', 'unload', 'cut', 'down'])
def test_streams_end_early(ending: str) -> None:
    async def run() -> bool:
        async with start_engine(tokens_per_s=50) as harness:
            await harness.send('load_model')
            await harness.wait_until_loaded()
            request = asyncio.create_task(
                harness.ask(stream=True, request_id='r', max_tokens=100_000)
            )
            batch = harness.engine.batch
            await poll.until(
                lambda: any(running.texts for running in batch.running)
            )
            if ending == 'cancel':
                await harness.client.cancel(ids.RequestId('r'))
            elif ending == 'unload':
                await harness.send('unload_model')
            else:
                harness.engine.faults.merge(FAULTS_BY_ENDING[ending])
            await poll.until(lambda: not batch.running)
            with pytest.raises(httpclient.HTTPError):
                await request
            return batch.ledger.page().entries[0].cancelled

    assert asyncio.run(run())


def test_down_engine_cuts_connections() -> None:
    async def run() -> None:
        async with start_engine() as harness:
            harness.engine.faults.merge({'down': True})
            with pytest.raises(errors.PlatformError):
                await harness.client.report(timeout_s=5)
            with pytest.raises(errors.PlatformError):
                await harness.send('load_model')
            with pytest.raises(httpclient.HTTPError):
                await harness.ask()
            harness.engine.faults.merge({'down': False})
            assert not (await harness.client.report(timeout_s=5)).held

    asyncio.run(run())


def test_disconnected_caller() -> None:
    async def run() -> bool:
        async with start_engine() as harness:
            await harness.send('load_model')
            await harness.wait_until_loaded()
            host, port = harness.address.split(':')
            _, caller = await asyncio.open_connection(host, int(port))
            body = b'{"model": "m", "max_tokens": 100000, "stream": true}'
            caller.write(
                b'POST /v1/completions HTTP/1.1\r\nHost: e\r\n'
                b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
            )
            batch = harness.engine.batch
            await poll.until(lambda: bool(batch.running))
            caller.close()
            await poll.until(lambda: not batch.running)
            return batch.ledger.page().entries[0].cancelled

    assert asyncio.run(run())
