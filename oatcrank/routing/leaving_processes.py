"""Remember the server processes that have said that they leave.

Load pattern: registrations end, come back or are written again while a server
leaves, and name it ready.
"""

from oatcrank.routing import server_process, server_registration

# Beyond this many, those that were recorded first are forgotten.
MAX_PROCESSES = 4096


class LeavingProcesses:
    """Processes that leave, whatever their registrations say."""

    def __init__(self) -> None:
        """Start without processes."""
        self._processes: dict[server_process.RegisteredProcess, None] = {}

    def add(self, leaving: server_process.RegisteredProcess) -> bool:
        """Add a process; return whether it is new."""
        if leaving in self._processes:
            return False
        if len(self._processes) >= MAX_PROCESSES:
            del self._processes[next(iter(self._processes))]
        self._processes[leaving] = None
        return True

    def contains(self, registration: server_registration.Registration) -> bool:
        """Return whether the process that has registered leaves."""
        return registration.registered_process in self._processes
