"""Keep what was interrupted at a server until it is known if it crashed."""

import asyncio
from collections.abc import Callable

import msgspec

from oatcrank.routing import crash, server, server_registration

# A process that ends slowly still accepts connections within this time.
ENDING_S = 2.0
# The next process of a server that has crashed registers within this time.
REPLACEMENT_S = 10.0
MAX_INTERRUPTIONS = 256

OnWhole = Callable[[float], None]


class Interruption(msgspec.Struct, frozen=True):
    """An interrupted request; prompt is None if it can't be the cause.

    answered: the server had answered the prompt with an event.
    """

    request: crash.RequestKey
    prompt: crash.Prompt | None = None
    answered: bool = False


class _Record(msgspec.Struct, frozen=True):
    """An interruption, or an answer that is whole unless the server crashed.

    on_whole is called with the time of the answer once that is known.
    """

    interruption: Interruption
    recorded_s: float
    on_whole: OnWhole | None


class CrashCase:
    """Interruptions at one process of a server."""

    def __init__(self, target: server.Server) -> None:
        """Start without interruptions."""
        self.target = target
        self.process = target.registration.process
        self.watching: asyncio.Task[None] | None = None
        self.last_recorded_s = float(0)
        self._records: list[_Record] = []

    @property
    def is_empty(self) -> bool:
        """Return whether nothing is recorded."""
        return not self._records

    @property
    def interruptions(self) -> tuple[Interruption, ...]:
        """Return what the end of the process may have interrupted.

        The process ran on after what came before its last time.
        """
        last_time_s = self.last_recorded_s - ENDING_S
        return tuple(
            record.interruption
            for record in self._records
            if record.recorded_s >= last_time_s
        )

    def add(
        self, interruption: Interruption, now_s: float, on_whole: OnWhole | None
    ) -> None:
        """Add an interruption, or an answer that may be one."""
        self.last_recorded_s = now_s
        if len(self._records) < MAX_INTERRUPTIONS:
            self._records.append(_Record(interruption, now_s, on_whole))

    def record_running(self, at_s: float) -> None:
        """Record that the process has not ended by what was before a time."""
        earlier = [
            record for record in self._records if record.recorded_s < at_s
        ]
        self._records = [
            record for record in self._records if record.recorded_s >= at_s
        ]
        for record in earlier:
            if record.on_whole is not None:
                record.on_whole(record.recorded_s)

    def is_replaced_by(
        self, registration: server_registration.Registration
    ) -> bool:
        """Return whether another process has taken this one's place.

        That of a server which leaves is replaced without a crash.
        """
        own = self.target.registration
        if own.leaving or registration.process == self.process:
            return False
        if registration.server_id == own.server_id:
            return registration.started_ms > own.started_ms
        return (registration.host, registration.port) == (own.host, own.port)
