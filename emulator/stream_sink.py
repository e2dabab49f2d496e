"""Send an answer token by token as server-sent events."""

from collections.abc import Callable

from tornado import httputil

from emulator import answer_sink

LAST_EVENT = 'data: [DONE]\n\n'


class StreamSink(answer_sink.AnswerSink):
    """Write events straight to a connection, one write for each call."""

    def __init__(
        self,
        connection: httputil.HTTPConnection,
        send_headers: Callable[[], None],
    ) -> None:
        """Write to the connection once send_headers was called."""
        self._connection = connection
        self._send_headers = send_headers

    def start(self) -> None:
        """Send the headers."""
        self._send_headers()

    def write_tokens(
        self, first_index: int, texts: list[str], digest: str
    ) -> None:
        """Send tokens from index first on."""
        events = [
            f'data: {{"index":{first_index + place},"text":"{text}"}}\n\n'
            for place, text in enumerate(texts)
        ]
        if digest:
            events = events[:-1]
            events.append(_end_event(first_index, texts, digest))
        self._connection.write(''.join(events).encode())


def _end_event(first_index: int, texts: list[str], digest: str) -> str:
    token = ''
    if texts:
        index = first_index + len(texts) - 1
        token = f'"index":{index},"text":"{texts[-1]}",'
    return (
        f'data: {{{token}"finish_reason":"length","digest":"{digest}"}}\n\n'
        f'{LAST_EVENT}'
    )
