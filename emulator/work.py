"""Hold one request inside an engine stand-in."""

import asyncio
import enum

from emulator import answer_sink, answer_text, completion, ledger_entry


class End(enum.Enum):
    """Say how a request ended."""

    finished = 'finished'
    cancelled = 'cancelled'
    cut = 'cut'
    not_loaded = 'not_loaded'


class Work:
    """Hold a request, the tokens made so far and its end."""

    def __init__(
        self,
        asked: completion.Completion,
        sink: answer_sink.AnswerSink,
    ) -> None:
        """Start queued."""
        self.asked = asked
        self.end: asyncio.Future[End] = (
            asyncio.get_running_loop().create_future()
        )
        self.texts: list[str] = []
        self.entry: ledger_entry.LedgerEntry | None = None
        self._sink = sink
        self._seed = answer_text.seed(asked.model, asked.adapter, asked.text)
        self._first_at: float = 0

    def start(self, first_at: float) -> None:
        """Run, with the first token at a time of the loop's clock."""
        resumed = min(self.asked.resume_from, self.asked.max_tokens)
        self._first_at = first_at
        self.texts = [
            answer_text.token(self._seed, index) for index in range(resumed)
        ]
        self._sink.start()

    def advance(self, now: float, tokens_per_s: float) -> bool:
        """Hand on the tokens that are due; True when the answer is whole."""
        wanted = self.asked.max_tokens
        elapsed = now - self._first_at
        if elapsed < 0:
            return False
        due = 1 + int(elapsed * tokens_per_s)
        made = len(self.texts)
        resumed = min(self.asked.resume_from, wanted)
        stop = min(wanted, resumed + due)
        texts = [
            answer_text.token(self._seed, index) for index in range(made, stop)
        ]
        self.texts.extend(texts)
        whole = stop >= wanted
        if texts or whole:
            self._sink.write_tokens(made, texts, self.digest() if whole else '')
        return whole

    def digest(self) -> str:
        """Return the digest of the tokens made so far."""
        return answer_text.digest(self.texts)
