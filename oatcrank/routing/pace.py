"""Space the prompts that one model server reads.

Answers prompts that arrive together: while a server reads them, all its streams
stand still, so each prompt waits until the ones before have left the streams
their share of the server's time.
"""

# Tokens of prompts that a server reads in a second.
READ_TOKENS_PER_S = 38_000
# The share of a server's time that may go to reading prompts.
READING_SHARE = 0.5


class Pace:
    """Hold when the next prompt may go to a server."""

    def __init__(self) -> None:
        """Let the first prompt go at once."""
        self._free_s = float(0)

    def reserve(self, tokens: int, most_s: float, now_s: float) -> float:
        """Return how long a prompt waits, at most most_s, in seconds."""
        wait_s = min(most_s, max(0, self._free_s - now_s))
        takes_s = tokens / READ_TOKENS_PER_S / READING_SHARE
        self._free_s = max(self._free_s, now_s + wait_s + takes_s)
        return wait_s

    def is_free(self, now_s: float) -> bool:
        """Tell whether a prompt would not wait."""
        return now_s >= self._free_s
