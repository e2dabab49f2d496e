"""Job of an engine stand-in: one request and its answer."""

import asyncio
import enum

from emulator import answer_sink, answer_text, completion_request, ledger_entry


class JobEnd(enum.Enum):
    """How a job ended."""

    finished = 'finished'
    cancelled = 'cancelled'
    cut = 'cut'
    not_loaded = 'not_loaded'


class EngineJob:
    """Request with the tokens generated so far and its end."""

    def __init__(
        self,
        request: completion_request.CompletionRequest,
        sink: answer_sink.AnswerSink,
    ) -> None:
        """Create a queued job."""
        self.request = request
        self.end: asyncio.Future[JobEnd] = (
            asyncio.get_running_loop().create_future()
        )
        self.texts: list[str] = []
        self.entry: ledger_entry.LedgerEntry | None = None
        self._sink = sink
        self._seed = answer_text.seed(
            request.model, request.adapter, request.text
        )
        self._first_at: float = 0

    def start(self, first_at: float) -> None:
        """Start the job; its first token is due at loop time first_at."""
        resumed = min(self.request.resume_from, self.request.max_tokens)
        self._first_at = first_at
        self.texts = [
            answer_text.token(self._seed, index) for index in range(resumed)
        ]
        self._sink.start()

    def advance(self, now: float, tokens_per_s: float) -> bool:
        """Send the tokens that are due; return whether they were the last."""
        max_tokens = self.request.max_tokens
        elapsed = now - self._first_at
        if elapsed < 0:
            return False
        due = 1 + int(elapsed * tokens_per_s)
        sent = len(self.texts)
        resumed = min(self.request.resume_from, max_tokens)
        stop = min(max_tokens, resumed + due)
        texts = [
            answer_text.token(self._seed, index) for index in range(sent, stop)
        ]
        self.texts.extend(texts)
        is_complete = stop >= max_tokens
        if texts or is_complete:
            self._sink.write_tokens(
                sent, texts, self.digest() if is_complete else ''
            )
        return is_complete

    def digest(self) -> str:
        """Return the digest of the tokens generated so far."""
        return answer_text.digest(self.texts)
