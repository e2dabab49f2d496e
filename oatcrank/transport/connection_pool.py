"""Pool of connections to one backend server."""

import time
from collections.abc import Collection

from oatcrank.transport import backend_connection, errors

# A live server accepts within a few milliseconds; a short timeout leaves time
# to use another server within the request's latency target.
CONNECT_TIMEOUT_S = 0.3
# Assumed idle timeout of a server that doesn't report one.
DEFAULT_IDLE_TIMEOUT_S = 2.0
# Idle connections are closed after this share of the server's idle timeout, so
# that the server doesn't close one while a request is sent on it.
IDLE_TIMEOUT_SHARE = 0.8


class ConnectionPool:
    """Reuse connections, the most recently used first."""

    def __init__(self, host: str, port: int) -> None:
        """Create an empty pool for one address."""
        self._host = host
        self._port = port
        self._idle: list[backend_connection.BackendConnection] = []
        self._max_idle_s = DEFAULT_IDLE_TIMEOUT_S * IDLE_TIMEOUT_SHARE
        self._closed = False
        self.opened_count = 0
        self.acquired_count = 0

    @property
    def connection_count(self) -> int:
        """Return the number of idle and acquired connections."""
        return self.acquired_count + len(self._idle)

    @property
    def has_idle(self) -> bool:
        """Return whether a request would need no new connection."""
        return bool(self._idle)

    async def acquire(
        self,
        avoided: Collection[backend_connection.BackendConnection] = (),
    ) -> backend_connection.BackendConnection:
        """Return a connection that is not avoided, or raise ConnectFailed."""
        self.acquired_count += 1
        idle = self._pop_idle(avoided)
        if idle is not None:
            return idle
        try:
            fresh = await backend_connection.connect(
                self._host,
                self._port,
                CONNECT_TIMEOUT_S,
            )
        except BaseException:
            self.acquired_count -= 1
            raise
        self.opened_count += 1
        if self._closed:
            self.release(fresh)
            raise errors.ConnectFailed('the connection pool is closed')
        return fresh

    def release(
        self,
        connection: backend_connection.BackendConnection,
        *,
        idle_timeout_s: float | None = None,
    ) -> None:
        """Return a connection to the pool, or close it if not reusable.

        idle_timeout_s is the idle timeout that the server has reported.
        """
        self.acquired_count -= 1
        connection.end_exchange()
        if idle_timeout_s is not None:
            self._max_idle_s = idle_timeout_s * IDLE_TIMEOUT_SHARE
        if self._closed:
            connection.close()
        elif connection.reusable:
            self._idle.append(connection)

    def prune(self) -> None:
        """Close connections that were idle too long to be reused safely."""
        idle_cutoff_s = time.monotonic() - self._max_idle_s
        for connection in self._idle:
            if connection.idle_since_s < idle_cutoff_s:
                connection.close()
        self._idle = [idle for idle in self._idle if idle.reusable]

    def close(self) -> None:
        """Close idle connections, and others when they are released."""
        self._closed = True
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _pop_idle(
        self, avoided: Collection[backend_connection.BackendConnection]
    ) -> backend_connection.BackendConnection | None:
        self.prune()
        for connection in reversed(self._idle):
            if connection not in avoided:
                self._idle.remove(connection)
                return connection
        return None
