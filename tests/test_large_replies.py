"""Test that what servers answer to orders and reports is bounded."""

import asyncio

import endless_server
import pytest
import routing_parts
import test_worker_orders

from oatcrank.orders import order
from oatcrank.platform import worker_order_sender

# What a call may read, and what the buffers of the system hold of it.
MAX_SENT_BYTES = 8_000_000


@pytest.mark.parametrize('head', endless_server.ENDLESS_HEADS)
@pytest.mark.parametrize('call', ['report', 'order'])
def test_what_servers_answer_to_orders_fills_the_memory(call, head):
    """Before, each call kept 33 MB, and all servers may be called at once."""

    async def run():
        sent = []
        server = await asyncio.start_server(
            lambda reader, writer: endless_server.serve_endless(
                head, reader, writer, sent
            ),
            '127.0.0.1',
            0,
        )
        port = server.sockets[0].getsockname()[1]
        registration = routing_parts.registration(0, port=port)
        sender = worker_order_sender.WorkerOrderSender()
        sender.attach(routing_parts.table(registration))
        if call == 'report':
            assert await sender.report(registration) is None
        else:
            an_order = test_worker_orders.an_order()
            outcome = await sender.send(registration, an_order, lambda: True)
            assert outcome is order.Outcome.unknown
        await asyncio.sleep(0.1)
        server.close()
        assert sum(sent) < MAX_SENT_BYTES

    asyncio.run(run())
