"""Limit retries to a share of the requests."""

BURST_RETRIES = 10.0


class RetryBudget:
    """Token bucket: each request adds a share of a retry; a retry takes one."""

    def __init__(self, share: float) -> None:
        """Allow share retries per request, saved up to BURST_RETRIES."""
        self._share = share
        self._balance = BURST_RETRIES

    def earn(self) -> None:
        """Add the share of one request."""
        self._balance = min(BURST_RETRIES, self._balance + self._share)

    def spend(self) -> bool:
        """Take one retry, or return False if none is left."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True
