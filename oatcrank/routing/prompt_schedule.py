"""Space the prompts that one model server reads.

Answers prompts that arrive together: while a server reads them, all its streams
stand still, so each prompt waits until the ones before have left the streams
their share of the server's time.  One that would wait too long has no turn.
"""

import msgspec

# Tokens of prompts that a server reads in a second, if no setting says else.
READ_TOKENS_PER_S = 38_000
# The share of a server's time that may go to reading prompts.
READ_TIME_SHARE = 0.5
# The longest that a prompt waits that must go: its caller is still there then.
MAX_REQUIRED_WAIT_S = 1.5


class Prompt(msgspec.Struct, frozen=True, kw_only=True):
    """Describe a prompt that wants its turn at a server.

    One that would wait longer than most_s seconds rather has no turn, unless it
    must go.
    """

    tokens: int
    most_s: float
    must: bool


class PromptSchedule:
    """Hold when the next prompt may go to a server."""

    def __init__(self, read_tokens_per_s: float = READ_TOKENS_PER_S) -> None:
        """Let the first prompt go at once."""
        self._read_tokens_per_s = read_tokens_per_s
        self._free_s = float(0)

    def reserve(self, prompt: Prompt, now_s: float) -> float:
        """Return how long a prompt waits for its turn, in seconds.

        It has no turn where that is longer than it would wait.
        """
        wait_s = max(0, self._free_s - now_s)
        if wait_s > prompt.most_s and not prompt.must:
            return wait_s
        wait_s = min(MAX_REQUIRED_WAIT_S, wait_s)
        takes_s = prompt.tokens / self._read_tokens_per_s / READ_TIME_SHARE
        self._free_s = max(self._free_s, now_s + wait_s + takes_s)
        return wait_s

    def is_free(self, now_s: float) -> bool:
        """Tell whether a prompt would not wait."""
        return now_s >= self._free_s
