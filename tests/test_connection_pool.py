"""Test how connections to backend servers are lent."""

import asyncio
from unittest import mock

import pytest
import virtual

from oatcrank.transport import connection_pool, errors

# A request's latency target, of which another server still needs a part.
TARGET_S = 0.4


def test_a_server_that_does_not_answer_is_given_up_within_the_target():
    async def silent(*_):
        await asyncio.sleep(60)

    async def work():
        loop = asyncio.get_running_loop()
        pool = connection_pool.ConnectionPool('127.0.0.1', 1)
        began_s = loop.time()
        with mock.patch.object(loop, 'create_connection', silent):
            with pytest.raises(errors.ConnectFailed):
                await pool.take()
        assert loop.time() - began_s < TARGET_S
        assert pool.in_all == 0

    virtual.run(work())
