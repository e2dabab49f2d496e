"""Collect a request while it arrives."""

import time

from oatcrank.transport import message, process_budget

# Characters around the name and the value of a header: `: ` and the line end.
HEADER_SEPARATOR_BYTES = 4


class PartialRequest:
    """Head and body of a request, as far as they have arrived."""

    def __init__(self) -> None:
        """Start without anything."""
        self.target = b''
        self.headers: message.Headers = []
        self.headers_done = False
        self.expects_continue = False
        # Bytes that have arrived since the last ones of a body.
        self.header_bytes = 0
        self.head_size = 0
        self.body = bytearray()
        self.began_s = time.monotonic()

    @property
    def kept_bytes(self) -> int:
        """Return the memory that is kept for this request."""
        if not self.head_size:
            return 0
        return process_budget.request_bytes(
            self.head_size, len(self.headers), len(self.body)
        )

    def add_target(self, target: bytes) -> None:
        """Append to the request target."""
        self.target += target
        self.head_size += len(target)

    def add_header(self, name: bytes, text: bytes) -> None:
        """Append a header."""
        self.headers.append((name, text))
        self.head_size += len(name) + len(text) + HEADER_SEPARATOR_BYTES
