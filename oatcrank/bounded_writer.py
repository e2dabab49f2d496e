"""Write log lines without ever waiting for their reader."""

import collections
import os
import time

BUFFERED_BYTES = 262144
LINES_PER_S = 400
BURST_LINES = 2000


class BoundedWriter:
    """Write lines to a descriptor; drop and count what is too much."""

    def __init__(self, descriptor: int) -> None:
        """Take over a descriptor, which becomes non-blocking."""
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._dropped = 0
        self._allowance = float(BURST_LINES)
        self._filled_s = time.monotonic()

    def write(self, line: str) -> None:
        """Write a line, keep it for later, or drop it."""
        encoded = line.encode('utf-8', 'replace')
        if not self._take(len(encoded)):
            self._dropped += 1
            return
        if self._dropped:
            self._keep(b'event=log_dropped lines=%d\n' % self._dropped)
            self._dropped = 0
        self._keep(encoded)
        self.flush()

    def flush(self) -> None:
        """Write what the reader takes at once."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more: there is nowhere left to tell it.
                self._pending.clear()
                self._pending_bytes = 0
                return
            self._pending_bytes -= written
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()

    def _keep(self, line: bytes) -> None:
        self._pending.append(line)
        self._pending_bytes += len(line)

    def _take(self, size: int) -> bool:
        now_s = time.monotonic()
        self._allowance = min(
            BURST_LINES,
            self._allowance + (now_s - self._filled_s) * LINES_PER_S,
        )
        self._filled_s = now_s
        if self._allowance < 1:
            return False
        if self._pending_bytes + size > BUFFERED_BYTES:
            return False
        self._allowance -= 1
        return True
