"""Test that a cut relay blocks all traffic until it is restored."""

import asyncio

import pytest
from tornado import web

from emulator import cut_relay, stand_in
from oatcrank import errors, rpc


class Hello(web.RequestHandler):
    def get(self) -> None:
        self.finish('hello')


def test_cut_and_restore() -> None:
    async def run() -> None:
        client = rpc.Rpc()
        async with stand_in.listening(web.Application([('/', Hello)])) as far:
            relay = cut_relay.CutRelay(far)
            await relay.start()

            async def ask() -> bytes:
                return await client.fetch(
                    relay.address, 'GET', '/', None, timeout_s=5
                )

            assert await ask() == b'hello'
            relay.cut()
            with pytest.raises(errors.PlatformError):
                await ask()
            relay.restore()
            assert await ask() == b'hello'
            relay.close()

    asyncio.run(run())
