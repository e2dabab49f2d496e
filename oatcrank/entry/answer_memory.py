"""Bound the memory of answers that are buffered until they are whole."""

from oatcrank import errors

MEGABYTE = 1_048_576
# Share of the memory of a process for such answers, besides that for requests.
MEMORY_SHARE = 0.25
DEFAULT_MEMORY_MB = 512
# Limit of one answer.
MAX_ANSWER_BYTES = 33_554_432


class AnswerMemory:
    """Memory that the buffered answers of a process share."""

    def __init__(self, memory_mb: float = DEFAULT_MEMORY_MB) -> None:
        """Use a share of the memory of the process."""
        self._max_bytes = int(memory_mb * MEGABYTE * MEMORY_SHARE)
        self._used_bytes = 0
        self._answers: set[BufferedAnswer] = set()

    @property
    def used_bytes(self) -> int:
        """Return the size of all buffered answers."""
        return self._used_bytes

    def open(self) -> 'BufferedAnswer':
        """Begin an answer; it is to be closed."""
        answer = BufferedAnswer(self)
        self._answers.add(answer)
        return answer

    def add(self, size: int) -> None:
        """Add to what is used; give up the largest answers if it is too much.

        Those without end are among them, and the others can go on.
        """
        self._used_bytes += size
        while self._used_bytes > self._max_bytes and self._answers:
            max(self._answers, key=len).give_up()

    def remove(self, answer: 'BufferedAnswer') -> None:
        """Release the memory of an answer."""
        if answer in self._answers:
            self._answers.remove(answer)
            self._used_bytes -= len(answer)


class BufferedAnswer:
    """Body of one answer."""

    def __init__(self, memory: AnswerMemory) -> None:
        """Begin empty; use AnswerMemory.open."""
        self._memory = memory
        self._body = bytearray()
        self._given_up = False

    def __len__(self) -> int:
        """Return the size of the body."""
        return len(self._body)

    def __bytes__(self) -> bytes:
        """Return the body."""
        return bytes(self._body)

    def add(self, chunk: bytes) -> None:
        """Add a chunk, or raise errors.Interrupted if there is no room."""
        if not self._given_up:
            self._body += chunk
            self._memory.add(len(chunk))
        if len(self._body) > MAX_ANSWER_BYTES:
            self.give_up()
        if self._given_up:
            raise errors.Interrupted('the answer is too long')

    def give_up(self) -> None:
        """Drop the body."""
        self._given_up = True
        self.close()

    def close(self) -> None:
        """Release the memory."""
        self._memory.remove(self)
        self._body = bytearray()
