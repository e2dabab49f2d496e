"""Keep connections to one backend server for the requests to come."""

import time

from oatcrank.transport import backend_connection, errors

# A server that lives accepts in a few milliseconds; one that doesn't answer is
# given up in time to use another within a request's latency target.
CONNECT_S = 0.3
# A server's idle timeout that it doesn't state is taken to be this short.
UNSTATED_IDLE_S = 2.0
IDLE_SHARE = 0.8


class ConnectionPool:
    """Lend connections, the most recently used first."""

    def __init__(self, host: str, port: int) -> None:
        """Connect to one address."""
        self._host = host
        self._port = port
        self._idle: list[backend_connection.BackendConnection] = []
        self._keep_s = UNSTATED_IDLE_S * IDLE_SHARE
        self._closed = False
        self.opened = 0
        self.lent = 0

    @property
    def in_all(self) -> int:
        """Return how many connections are open or lent."""
        return self.lent + len(self._idle)

    @property
    def has_idle(self) -> bool:
        """Tell whether a request would need no new connection."""
        return bool(self._idle)

    async def take(self) -> backend_connection.BackendConnection:
        """Lend a connection or raise errors.ConnectFailed."""
        self.lent += 1
        kept = self._kept()
        if kept is not None:
            return kept
        try:
            fresh = await backend_connection.connect(
                self._host,
                self._port,
                CONNECT_S,
            )
        except BaseException:
            self.lent -= 1
            raise
        self.opened += 1
        if self._closed:
            self.give_back(fresh)
            raise errors.ConnectFailed('the server is gone')
        return fresh

    def give_back(
        self,
        connection: backend_connection.BackendConnection,
        *,
        idle_s: float | None = None,
    ) -> None:
        """Keep a connection if it may be used again, else close it."""
        self.lent -= 1
        connection.release()
        if idle_s is not None:
            self._keep_s = idle_s * IDLE_SHARE
        if self._closed:
            connection.close()
        elif connection.reusable:
            self._idle.append(connection)

    def prune(self) -> None:
        """Close what has been idle too long to be used safely."""
        oldest_s = time.monotonic() - self._keep_s
        for connection in self._idle:
            if connection.idle_since_s < oldest_s:
                connection.close()
        self._idle = [one for one in self._idle if one.reusable]

    def close(self) -> None:
        """Close all that is idle, and what is given back from now on."""
        self._closed = True
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _kept(self) -> backend_connection.BackendConnection | None:
        self.prune()
        return self._idle.pop() if self._idle else None
