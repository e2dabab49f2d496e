"""Check the result of an append under lost replies and races."""

import asyncio

import pytest

from emulator import memory_key_value
from oatcrank import errors
from oatcrank.configuration import append_log


@pytest.mark.parametrize(
    ('fault', 'record', 'expected'),
    [
        ('none', 'mine', append_log.AppendResult.committed),
        ('lose_answers', 'mine', append_log.AppendResult.committed),
        ('taken', 'mine', append_log.AppendResult.overtaken),
    ],
)
def test_append(
    fault: str, record: str, expected: append_log.AppendResult
) -> None:
    async def run() -> append_log.AppendResult:
        store = memory_key_value.MemoryKeyValue()
        log = append_log.AppendLog(store, 'log')
        if fault == 'taken':
            await log.append(1, 'theirs')
        if fault == 'lose_answers':
            store.lose_answers = 1
        return await log.append(1, record)

    assert asyncio.run(run()) is expected


@pytest.mark.parametrize(
    ('fault', 'error'),
    [
        ('down', errors.Unavailable),
        ('lose_requests', errors.UnknownOutcome),
    ],
)
def test_append_fails(fault: str, error: type[Exception]) -> None:
    async def run() -> None:
        store = memory_key_value.MemoryKeyValue()
        setattr(store, fault, 1)
        await append_log.AppendLog(store, 'log').append(1, 'mine')

    with pytest.raises(error):
        asyncio.run(run())
