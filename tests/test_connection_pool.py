"""Test the pool of connections to a backend server."""

import asyncio
from unittest import mock

import pytest
import virtual

from oatcrank.transport import connection_pool, errors

# Latency target of a request; a retry on another server needs part of it.
TARGET_S = 0.4


def test_connecting_to_a_silent_server_times_out_within_the_target():
    async def silent(*_):
        await asyncio.sleep(60)

    async def work():
        loop = asyncio.get_running_loop()
        pool = connection_pool.ConnectionPool('127.0.0.1', 1)
        began_s = loop.time()
        with mock.patch.object(loop, 'create_connection', silent):
            with pytest.raises(errors.ConnectFailed):
                await pool.acquire()
        assert loop.time() - began_s < TARGET_S
        assert pool.connection_count == 0

    virtual.run(work())


def test_a_request_is_never_sent_twice_on_one_connection():
    """A late copy of its first answer would be taken for the second one."""

    async def work():
        listening = await asyncio.start_server(lambda *_: None, '127.0.0.1', 0)
        port = listening.sockets[0].getsockname()[1]
        pool = connection_pool.ConnectionPool('127.0.0.1', port)
        used = await pool.acquire()
        pool.release(used)
        other = await pool.acquire([used])
        assert other is not used
        pool.release(other)
        # Later requests may use both.
        assert {await pool.acquire(), await pool.acquire()} == {used, other}
        assert pool.opened_count == 2
        pool.close()
        listening.close()

    asyncio.run(work())
