"""Choose how long a connection outlasts a server that is silent.

A server may send and acknowledge nothing for a while and then go on with its
work.  Linux ends a connection with TCP_USER_TIMEOUT once data or a closed
window has waited so long, and also once a keep-alive probe has been sent and
nothing was heard for so long, whatever TCP_KEEPCNT says.
"""

import socket

# Silence that no connection may end in.
SURVIVED_SILENCE_MS = 2000
# The first retransmission comes 200 ms and a round trip after the data, and
# each further one after twice the time.
MAX_FIRST_RETRANSMISSION_MS = 500
# The first retransmission after the silence comes before this time: the one
# before was sent within the silence.
USER_TIMEOUT_MS = 2 * SURVIVED_SILENCE_MS + MAX_FIRST_RETRANSMISSION_MS
KEEPALIVE_INTERVAL_S = 1
# Ends an idle connection at the first probe after the user timeout, also on
# systems where the count decides.
KEEPALIVE_PROBES = USER_TIMEOUT_MS // (1000 * KEEPALIVE_INTERVAL_S)


def set_options(sock: socket.socket) -> None:
    """Outlast a silent server, but detect one that does not come back."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_options = (
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    )
    for option, amount in tcp_options:
        sock.setsockopt(socket.IPPROTO_TCP, option, amount)
