"""Read a streamed answer of server-sent events, token by token."""

import msgspec
import xxhash

DATA = b'data: '
DONE = b'[DONE]'
KEPT_BYTES = 4096


class Token(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one event of a streamed answer."""

    index: int = -1
    text: str = ''
    digest: str = ''


class ReplayStream:
    """Collect an answer and check that nothing of it is missing.

    head is the start of what came, where a refusal is read from.
    """

    def __init__(self) -> None:
        """Start with no token."""
        self.done = False
        self.broken = ''
        self.head = b''
        self.times: list[float] = []
        self._rest = b''
        self._hash = xxhash.xxh64()
        self._digest = ''

    def add(self, chunk: bytes, now: float) -> None:
        """Take in bytes as they come."""
        if len(self.head) < KEPT_BYTES:
            self.head += chunk
        self._rest += chunk
        lines = self._rest.split(b'\n')
        self._rest = lines.pop()
        for line in lines:
            if line.startswith(DATA):
                self._add_event(line.removeprefix(DATA).strip(), now)

    def fault(self, tokens: int) -> str:
        """Return what is wrong with the answer, or an empty string."""
        if self.broken:
            return self.broken
        if not self.done:
            return 'the stream ended early'
        if len(self.times) != tokens:
            return f'{len(self.times)} tokens in place of {tokens}'
        if self._digest and self._digest != self._hash.hexdigest():
            return 'the digest differs from the text'
        return ''

    def _add_event(self, event: bytes, now: float) -> None:
        if event == DONE:
            self.done = True
            return
        try:
            token = msgspec.json.decode(event, type=Token)
        except msgspec.MsgspecError as error:
            self.broken = f'event: {error}'
            return
        self._digest = token.digest or self._digest
        if token.index < 0:
            return
        if token.index != len(self.times):
            self.broken = f'token {token.index} after {len(self.times)}'
        self.times.append(now)
        self._hash.update(token.text.encode())
