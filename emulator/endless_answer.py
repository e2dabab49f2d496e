"""Answers of a faulty worker that have no end."""

import enum

import msgspec

OK = 'HTTP/1.1 200 OK'
NOT_RUN = 'HTTP/1.1 503 Busy\r\nX-Not-Executed: 1'
UNTIL_CLOSE = 'Connection: close'
CHUNKED = 'Transfer-Encoding: chunked'
# One chunk with one event, then the last chunk.
EVENT_CHUNKS = '14\r\nid: 1\ndata: word1\n\n\r\n0\r\n'
NOISE_HEADER = 'X-Noise: '
NOISE_BYTES = 16_384
NOISE = 'x' * NOISE_BYTES
SHORT_NOISE = 'x' * 1000
REPEATS = 4_096
SHORT_HEADERS = 'a:\r\n' * REPEATS
SMALL_CHUNKS = '2\r\nxx\r\n' * REPEATS


class EndlessAnswer(msgspec.Struct, frozen=True):
    """What is sent first, and then again and again.

    {headers} stands for the headers of a proper answer.
    """

    template: str
    noise: str

    @property
    def repeated(self) -> bytes:
        """Return what has no end."""
        return self.noise.encode()

    def first(self, header_by_name: dict[str, str]) -> bytes:
        """Return what comes before it."""
        headers = ''.join(
            f'{name}: {text}\r\n' for name, text in header_by_name.items()
        )
        return self.template.replace('{headers}', headers).encode()


class EndlessMode(enum.Enum):
    """Where an answer has no end."""

    header = EndlessAnswer(f'{OK}\r\n{NOISE_HEADER}', NOISE)
    headers = EndlessAnswer(f'{OK}\r\n', f'{NOISE_HEADER}{SHORT_NOISE}\r\n')
    short_headers = EndlessAnswer(f'{OK}\r\n', SHORT_HEADERS)
    small_chunks = EndlessAnswer(
        f'{OK}\r\n{CHUNKED}\r\nContent-Type: text/event-stream\r\n'
        f'{{headers}}\r\n',
        SMALL_CHUNKS,
    )
    plain_small_chunks = EndlessAnswer(
        f'{OK}\r\n{CHUNKED}\r\n{{headers}}\r\n', SMALL_CHUNKS
    )
    interim = EndlessAnswer(
        '', f'HTTP/1.1 103 Early\r\n{NOISE_HEADER}{SHORT_NOISE}\r\n\r\n'
    )
    trailer = EndlessAnswer(
        f'{OK}\r\n{CHUNKED}\r\n{{headers}}\r\n{EVENT_CHUNKS}{NOISE_HEADER}',
        NOISE,
    )
    event = EndlessAnswer(f'{OK}\r\n{UNTIL_CLOSE}\r\n{{headers}}\r\n', NOISE)
    decline = EndlessAnswer(
        f'{NOT_RUN}\r\n{UNTIL_CLOSE}\r\n{{headers}}\r\n', NOISE
    )
