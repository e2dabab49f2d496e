"""Bound the attempts made beyond the first ones."""

BURST = 10.0


class RetryBudget:
    """Earn a share of a retry with each request; spend one per retry."""

    def __init__(self, share: float) -> None:
        """Allow share retries per request, and a burst after a quiet time."""
        self._share = share
        self._balance = BURST

    def earn(self) -> None:
        """Count one request."""
        self._balance = min(BURST, self._balance + self._share)

    def spend(self) -> bool:
        """Take one retry, or return False when none is left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
