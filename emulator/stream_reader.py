"""Read an answer of server-sent events and verify it."""

import msgspec

from emulator import answer_text, call_outcome
from oatcrank import refusal

EVENT_END = b'\n\n'
EVENT_START = b'data: '
DONE = b'[DONE]'


class StreamEvent(msgspec.Struct, frozen=True):
    """Event of a stream; the event of a token has an index."""

    index: int | None = None
    text: str = ''
    digest: str = ''
    error: refusal.Refusal | None = None


class StreamReader:
    """Parser of one stream that records the arrival times of its tokens."""

    def __init__(self, started: float) -> None:
        """Set the start time in seconds."""
        self.texts: list[str] = []
        self.refused: refusal.Refusal | None = None
        self._started = started
        self._buffer = b''
        self._problem = ''
        self._digest = ''
        self._is_done = False
        self._token_times: list[float] = []

    def feed(self, chunk: bytes, now: float) -> None:
        """Parse a chunk that arrived at a time in seconds."""
        events = (self._buffer + chunk).split(EVENT_END)
        self._buffer = events.pop()
        for event in events:
            self._read_event(event.removeprefix(EVENT_START), now)

    def end(self, now: float) -> call_outcome.CallOutcome:
        """Return the verified answer after the end of the stream."""
        problem = self.problem()
        outcome = call_outcome.Outcome.answered
        if self.refused is not None or not self._is_done:
            outcome = call_outcome.Outcome.interrupted
        elif problem:
            outcome = call_outcome.Outcome.wrong
        times = self._token_times
        return call_outcome.CallOutcome(
            outcome=outcome,
            text=''.join(self.texts),
            problem=problem,
            refused=self.refused,
            first_token_s=times[0] - self._started if times else 0,
            between_tokens_s=[
                later - earlier
                for earlier, later in zip(times, times[1:], strict=False)
            ],
            whole_s=now - self._started,
        )

    def problem(self) -> str:
        """Return why the answer is invalid, or an empty text."""
        if self.refused is not None:
            return self.refused.message
        if self._problem:
            return self._problem
        if not self._is_done:
            return 'the stream ended before its last event'
        if self._digest != answer_text.digest(self.texts):
            return 'the digest does not match the text'
        return ''

    def _read_event(self, body: bytes, now: float) -> None:
        if body == DONE:
            self._is_done = True
            return
        event = msgspec.json.decode(body, type=StreamEvent)
        self._digest = event.digest or self._digest
        self.refused = event.error or self.refused
        if event.index is None:
            return
        if event.index != len(self.texts):
            self._problem = (
                f'received token {event.index}, expected {len(self.texts)}'
            )
        self.texts.append(event.text)
        self._token_times.append(now)
