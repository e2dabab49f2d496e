"""Find ports for processes that start again at the same address."""

import contextlib
import itertools
import os
import socket

HOST = '127.0.0.1'
# Below the range from which the system draws ports of outgoing connections,
# so that none of these takes the port while its process is down.  Each run
# starts at a different port.
FIRST_PORT = 12_000
PORT_COUNT = 18_000
PORTS_PER_RUN = 250
PORTS = itertools.cycle(
    FIRST_PORT + (os.getpid() * PORTS_PER_RUN + number) % PORT_COUNT
    for number in range(PORT_COUNT)
)


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a free port that no other call of this process returns."""
    while True:
        port = next(PORTS)
        with (
            socket.socket(socket.AF_INET, kind) as probe,
            contextlib.suppress(OSError),
        ):
            probe.bind((HOST, port))
            return port
