"""Test calls to other processes."""

import asyncio

import pytest

from emulator import endless_answer, platform_worker
from oatcrank import errors
from oatcrank.transport import calls

ENDLESS = endless_answer.EndlessMode


@pytest.mark.parametrize(
    'mode', [ENDLESS.header, ENDLESS.interim, ENDLESS.event]
)
def test_answers_without_end_are_given_up(mode, monkeypatch):
    """Before, they were kept in memory until the call's time was over."""
    monkeypatch.setattr(calls, 'MAX_BODY_BYTES', 1_000_000)

    async def run():
        worker = platform_worker.Worker()
        worker.endless_answer = mode.value
        await worker.start()
        request = calls.Call(
            method='GET', target='/x', headers=(('X-Request-Id', 'call-1'),)
        )
        try:
            with pytest.raises(errors.Interrupted, match='answer'):
                await calls.call(f'127.0.0.1:{worker.port}', request, 5.0)
            assert worker.endless_bytes < 16_000_000
        finally:
            await worker.stop()

    asyncio.run(run())
