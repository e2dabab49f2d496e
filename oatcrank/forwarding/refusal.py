"""Define the error for refused requests."""

from oatcrank import errors


class RequestRefused(errors.OatcrankError):
    """Raised when a request won't be sent (again)."""

    def __init__(self, reason: str, retry_after_s: float) -> None:
        """Store the reason and the retry delay in seconds."""
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


class ServersUnreached(RequestRefused):
    """Raised when the chosen servers accept no connection."""
