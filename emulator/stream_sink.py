"""Stream an answer token by token as server-sent events."""

from collections.abc import Callable

from tornado import httputil

from emulator import answer_sink

LAST_EVENT = 'data: [DONE]\n\n'


class StreamSink(answer_sink.AnswerSink):
    """Answer sink that writes events to a connection, one write per call."""

    def __init__(
        self,
        connection: httputil.HTTPConnection,
        send_headers: Callable[[], None],
    ) -> None:
        """Set the connection and the callback that sends the headers."""
        self._connection = connection
        self._send_headers = send_headers

    def start(self) -> None:
        """Send the headers."""
        self._send_headers()

    def write_tokens(
        self, first_index: int, texts: list[str], digest: str
    ) -> None:
        """Send the tokens from first_index on."""
        events = [
            f'data: {{"index":{first_index + offset},"text":"{text}"}}\n\n'
            for offset, text in enumerate(texts)
        ]
        if digest:
            events = events[:-1]
            events.append(_last_events(first_index, texts, digest))
        self._connection.write(''.join(events).encode())


def _last_events(first_index: int, texts: list[str], digest: str) -> str:
    token = ''
    if texts:
        index = first_index + len(texts) - 1
        token = f'"index":{index},"text":"{texts[-1]}",'
    return (
        f'data: {{{token}"finish_reason":"length","digest":"{digest}"}}\n\n'
        f'{LAST_EVENT}'
    )
