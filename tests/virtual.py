"""Run a test's coroutine in virtual time."""

import asyncio
from unittest import mock

from emulator import virtual_time_loop
from oatcrank.orders import boot_clock


def run(coroutine):
    """Run a coroutine in virtual time and return its result."""
    loop = virtual_time_loop.VirtualTimeLoop()
    try:
        with mock.patch.object(boot_clock, 'now', loop.time):
            return loop.run_until_complete(coroutine)
    finally:
        _cancel_all(loop)
        loop.close()


def _cancel_all(loop) -> None:
    pending_tasks = asyncio.all_tasks(loop)
    for task in pending_tasks:
        task.cancel()
    if pending_tasks:
        loop.run_until_complete(
            asyncio.gather(*pending_tasks, return_exceptions=True)
        )
