"""Record the sends of one request."""

from oatcrank import ids
from oatcrank.forwarding import attempt_state
from oatcrank.routing import server
from oatcrank.transport import backend_connection


class RequestSends:
    """Servers and connections to which a request was sent."""

    def __init__(self) -> None:
        """Start without sends."""
        self._history = attempt_state.AttemptHistory()
        self._server_ids: list[ids.ServerId] = []
        # The number of sends that have reached servers.
        self.arrivals = 0
        self._versions: list[ids.SoftwareVersion] = []
        # The servers on which the request may have run.
        self.tried_ids: list[ids.ServerId] = []
        self.connections: list[backend_connection.BackendConnection] = []

    @property
    def count(self) -> int:
        """Return the number of sends."""
        return len(self._server_ids)

    @property
    def has_not_run(self) -> bool:
        """Return whether no server can have run the request."""
        return (
            self._history.execution_status
            is attempt_state.ExecutionStatus.not_run
        )

    def record_begin(self, chosen: server.Server) -> None:
        """Record a send that begins."""
        self._server_ids.append(chosen.server_id)
        self._versions.append(chosen.registration.software_version)

    def record_end(
        self, server_id: ids.ServerId, progress: attempt_state.Progress
    ) -> None:
        """Record how far a send got."""
        self._history.record(progress)
        if progress is not attempt_state.Progress.unsent:
            self.arrivals += 1
        if attempt_state.may_have_run(progress):
            if server_id not in self.tried_ids:
                self.tried_ids.append(server_id)

    def log_fields(self) -> dict[str, str | int]:
        """Return the fields that describe the sends in the log."""
        return {
            'servers': ','.join(self._server_ids),
            'versions': ','.join(self._versions),
            'sends': self.count,
        }
