"""Space out the prompts that one model server reads.

While a server reads a prompt, none of its streams progress.  Each prompt
therefore waits until reading the earlier ones has left the streams their share
of the server's time.  A prompt that would wait too long gets no slot.
"""

import msgspec

# Default of the setting for how many prompt tokens a server reads per second.
READ_TOKENS_PER_S = 38_000
# Share of a server's time that may be spent on reading prompts.
READ_TIME_SHARE = 0.5
# Required prompts wait no longer, because their callers would disconnect.
MAX_REQUIRED_WAIT_S = 1.5


class Prompt(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a prompt that needs a slot at a server.

    A prompt that would wait longer than max_wait_s seconds gets no slot, unless
    it is required.
    """

    tokens: int
    max_wait_s: float = msgspec.field(name='most_s')
    required: bool = msgspec.field(name='must')


class PromptSchedule:
    """Track when the next prompt may be sent to a server."""

    def __init__(self, read_tokens_per_s: float = READ_TOKENS_PER_S) -> None:
        """Start with an empty schedule: the first prompt does not wait."""
        self._read_tokens_per_s = read_tokens_per_s
        self._free_s = float(0)

    def reserve(self, prompt: Prompt, now_s: float) -> float:
        """Return how long a prompt waits for its slot, in seconds.

        No slot is reserved if that exceeds the prompt's limit.
        """
        wait_s = max(0, self._free_s - now_s)
        if wait_s > prompt.max_wait_s and not prompt.required:
            return wait_s
        wait_s = min(MAX_REQUIRED_WAIT_S, wait_s)
        read_s = prompt.tokens / self._read_tokens_per_s / READ_TIME_SHARE
        self._free_s = max(self._free_s, now_s + wait_s + read_s)
        return wait_s

    def is_free(self, now_s: float) -> bool:
        """Return whether a prompt would be sent without a wait."""
        return now_s >= self._free_s
