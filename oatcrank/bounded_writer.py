"""Write log lines without blocking on a slow reader."""

import collections
import os
import time

MAX_BUFFERED_BYTES = 262144
LINES_PER_S = 400
BURST_LINES = 2000


class BoundedWriter:
    """Write lines to a descriptor; drop and count lines beyond its limits.

    A token bucket limits the rate of lines, and the buffer limits the bytes.
    """

    def __init__(self, descriptor: int) -> None:
        """Write to a descriptor, which is set to non-blocking mode."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._dropped = 0
        self._tokens = float(BURST_LINES)
        self._refilled_s = time.monotonic()

    def write(self, line: str) -> None:
        """Write a line, buffer it, or drop it."""
        encoded = line.encode('utf-8', 'replace')
        if not self._admit(len(encoded)):
            self._dropped += 1
            return
        if self._dropped:
            self._append(b'event=log_dropped lines=%d\n' % self._dropped)
            self._dropped = 0
        self._append(encoded)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as is possible without blocking."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and no log is left to report it to.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()

    def _append(self, line: bytes) -> None:
        self._pending.append(line)
        self._pending_bytes += len(line)

    def _admit(self, size: int) -> bool:
        now_s = time.monotonic()
        self._tokens = min(
            BURST_LINES,
            self._tokens + (now_s - self._refilled_s) * LINES_PER_S,
        )
        self._refilled_s = now_s
        if self._tokens < 1:
            return False
        if self._pending_bytes + size > MAX_BUFFERED_BYTES:
            return False
        self._tokens -= 1
        return True
