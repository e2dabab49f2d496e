"""Test that servers which are silent for a while keep their connections."""

import asyncio
import socket

import forwarding_site
import pytest

from emulator import platform_worker
from oatcrank.transport import backend_connection

LONG_BODY = b'x' * 4_000_000
SILENCE_S = 2.0
# A server that does not come back is noticed within this time.
MAX_DETECTION_S = 6.0


class Limits:
    """When Linux ends a connection with the options of a socket."""

    def __init__(self, sock: socket.socket) -> None:
        def option(name: int) -> int:
            return sock.getsockopt(socket.IPPROTO_TCP, name)

        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        self.user_timeout_s = option(socket.TCP_USER_TIMEOUT) / 1000
        self._idle_s = option(socket.TCP_KEEPIDLE)
        self._interval_s = option(socket.TCP_KEEPINTVL)

    def idle_survives(self, silence_s: float) -> bool:
        """Return whether a probe is sent after a silence, before the end."""
        return self._answered(self._probes_s(), silence_s)

    def unacknowledged_survives(self, silence_s: float, first_s: float) -> bool:
        """Return whether data is sent again after a silence."""
        times_s = [first_s * (2**count - 1) for count in range(1, 12)]
        return self._answered(times_s, silence_s)

    def idle_end_s(self) -> float:
        """Return when a connection to a server that is gone ends."""
        return next(
            at_s for at_s in self._probes_s()[1:] if at_s >= self.user_timeout_s
        )

    def _probes_s(self) -> list[float]:
        return [
            self._idle_s + self._interval_s * count for count in range(1000)
        ]

    def _answered(self, times_s: list[float], silence_s: float) -> bool:
        return any(silence_s <= at_s < self.user_timeout_s for at_s in times_s)


async def read_limits() -> Limits:
    """Read the options of a connection to a server on loopback."""
    worker = platform_worker.Worker()
    await worker.start()
    connection = await backend_connection.connect('127.0.0.1', worker.port, 1)
    limits = Limits(connection.transport.get_extra_info('socket'))
    connection.close()
    await worker.stop()
    return limits


def test_an_idle_or_waiting_connection_survives_a_silence():
    assert asyncio.run(read_limits()).idle_survives(SILENCE_S)


@pytest.mark.parametrize('first_ms', range(201, 500, 20))
def test_data_is_sent_again_after_a_silence(first_ms):
    limits = asyncio.run(read_limits())
    assert limits.unacknowledged_survives(SILENCE_S, first_ms / 1000)


def test_a_server_that_is_gone_is_noticed():
    limits = asyncio.run(read_limits())
    assert limits.user_timeout_s < MAX_DETECTION_S
    assert limits.idle_end_s() < MAX_DETECTION_S


@pytest.mark.parametrize(
    ('failure', 'body', 'route_changes'),
    [
        ('a request that runs once is lost', LONG_BODY, {'repeatable': False}),
        ('a request is sent again though it arrives', LONG_BODY, {}),
        ('a stream breaks off', b'', {'streaming': True}),
        ('a stream begins twice', LONG_BODY, {'streaming': True}),
    ],
)
def test_a_server_that_neither_reads_nor_writes_for_a_while(
    failure, body, route_changes
):
    async def work(site):
        for worker in site.workers:
            worker.read_delay_s = SILENCE_S
            worker.event_delay_s = SILENCE_S / 2
            worker.event_count = 3
        request = forwarding_site.request(body=body, x_deadline_ms='9000')
        caller = await forwarding_site.Caller.open(site.port)
        answer = await caller.ask(request, wait_s=9)
        caller.close()
        assert (answer.status, answer.whole) == (200, True), failure
        assert site.runs() == 1, failure

    forwarding_site.run(work, timeout_s=9, **route_changes)
