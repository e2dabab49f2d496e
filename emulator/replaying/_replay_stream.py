"""Parse a streamed answer of server-sent events."""

import msgspec
import xxhash

DATA = b'data: '
DONE = b'[DONE]'
MIN_HEAD_BYTES = 4096


class Token(msgspec.Struct, frozen=True, kw_only=True):
    """One event of a streamed answer."""

    index: int = -1
    text: str = ''
    digest: str = ''


class ReplayStream:
    """Parse an answer and check that it is complete.

    head is the start of the body, from which a refusal is decoded.
    """

    def __init__(self) -> None:
        """Start without tokens."""
        self.done = False
        self._error = ''
        self.head = b''
        self.times: list[float] = []
        self._partial_line = b''
        self._hash = xxhash.xxh64()
        self._digest = ''

    def add(self, chunk: bytes, now: float) -> None:
        """Parse received bytes and record the time of their tokens."""
        if len(self.head) < MIN_HEAD_BYTES:
            self.head += chunk
        self._partial_line += chunk
        lines = self._partial_line.split(b'\n')
        self._partial_line = lines.pop()
        for line in lines:
            if line.startswith(DATA):
                self._add_event(line.removeprefix(DATA).strip(), now)

    def find_error(self, tokens: int) -> str:
        """Return the answer's error, or an empty string."""
        if self._error:
            return self._error
        if not self.done:
            return 'stream ended before [DONE]'
        if len(self.times) != tokens:
            return f'received {len(self.times)} tokens, expected {tokens}'
        if self._digest and self._digest != self._hash.hexdigest():
            return 'digest does not match the text'
        return ''

    def _add_event(self, event: bytes, now: float) -> None:
        if event == DONE:
            self.done = True
            return
        try:
            token = msgspec.json.decode(event, type=Token)
        except msgspec.MsgspecError as error:
            self._error = f'invalid event: {error}'
            return
        self._digest = token.digest or self._digest
        if token.index < 0:
            return
        if token.index != len(self.times):
            self._error = (
                f'received token {token.index}, expected {len(self.times)}'
            )
        self.times.append(now)
        self._hash.update(token.text.encode())
