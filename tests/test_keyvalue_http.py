"""Test the key-value client against the stand-in and its faults."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import pytest

from emulator import key_value_app, key_value_config, stand_in
from oatcrank import errors, ids, rpc
from oatcrank.store import keyvalue, keyvalue_http

KEY = 'log/a b/%2F?#é'
Client = keyvalue_http.HttpKeyValue


Steps = Callable[[Client, Any], Awaitable[Any]]


def with_client(
    steps: Steps,
    **config: Any,
) -> Any:
    async def run() -> Any:
        app = key_value_app.make_app(key_value_config.KeyValueConfig(**config))
        calls = rpc.Rpc()
        async with stand_in.listening(app) as address:

            async def fault(**named: Any) -> None:
                body = msgspec.json.encode(named)
                await calls.fetch(
                    address, 'POST', '/control/faults', body, timeout_s=5
                )

            return await steps(Client(calls, address, timeout_s=5), fault)

    return asyncio.run(run())


def test_put_get_and_delete() -> None:
    async def steps(client: Client, _: Any) -> list[Any]:
        absent = await client.get(KEY)
        first = await client.put(KEY, 'one', expected=keyvalue.ABSENT)
        with pytest.raises(errors.Conflict, match='is at revision 1'):
            await client.put(KEY, 'two', expected=keyvalue.ABSENT)
        present = await client.get(KEY)
        await client.delete(KEY)
        gone = await client.get(KEY)
        return [absent, present, first, gone]

    entry = keyvalue.Entry('one', ids.Revision(1))
    assert with_client(steps) == [None, entry, 1, None]


@pytest.mark.parametrize(('writes', 'expected'), [(0, None), (1, 'new')])
def test_watch_ends(writes: int, expected: str | None) -> None:
    async def steps(client: Client, _: Any) -> str | None:
        after = await client.put(KEY, 'old', expected=keyvalue.ABSENT)
        wait_s = 30 if writes else 0.05
        watched = asyncio.create_task(
            client.watch(KEY, after=after, wait_s=wait_s)
        )
        if writes:
            await client.put(KEY, 'new', expected=after)
        entry = await watched
        return None if entry is None else entry.value

    assert with_client(steps) == expected


@pytest.mark.parametrize(
    ('fault', 'error', 'held'),
    [
        ({'down': True}, errors.Unavailable, None),
        ({'lose_answers': 1}, errors.UnknownOutcome, 'one'),
        ({'lose_requests': 1}, errors.UnknownOutcome, None),
    ],
)
def test_failed_puts(
    fault: dict[str, Any],
    error: type[Exception],
    held: str | None,
) -> None:
    async def steps(client: Client, set_fault: Any) -> str | None:
        await set_fault(**fault)
        with pytest.raises(error):
            await client.put(KEY, 'one', expected=keyvalue.ABSENT)
        await set_fault(down=False)
        entry = await client.get(KEY)
        return entry and entry.value

    assert with_client(steps) == held


def test_stale_reads() -> None:
    async def steps(client: Client, set_fault: Any) -> str | None:
        after = await client.put(KEY, 'old', expected=keyvalue.ABSENT)
        await client.put(KEY, 'new', expected=after)
        await set_fault(stale_reads=True)
        entry = await client.get(KEY)
        return entry and entry.value

    assert with_client(steps) == 'old'


def test_rates_are_limited() -> None:
    async def steps(client: Client, _: Any) -> None:
        await client.put(KEY, 'one', expected=keyvalue.ABSENT)
        with pytest.raises(errors.Unavailable):
            await client.delete(KEY)

    with_client(steps, writes_per_s=1)


def test_connection_refused() -> None:
    async def run() -> None:
        client = Client(rpc.Rpc(), '127.0.0.1:1', timeout_s=1)
        with pytest.raises(errors.Unavailable):
            await client.put(KEY, 'one', expected=keyvalue.ABSENT)

    asyncio.run(run())
