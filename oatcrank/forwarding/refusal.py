"""Define the error for refused requests."""

from oatcrank import errors

# Other instances can serve the request at once.
STOPPING_RETRY_S = float(0)


class RequestRefused(errors.OatcrankError):
    """Raised when a request won't be sent (again)."""

    def __init__(self, reason: str, retry_after_s: float) -> None:
        """Store the reason and the retry delay in seconds."""
        super().__init__(reason)
        self.reason = reason
        self.retry_after_s = retry_after_s


class InstanceStopping(RequestRefused):
    """Raised when the end of a planned stop would cut off the answer."""

    def __init__(self) -> None:
        """Let the caller go to another instance at once."""
        super().__init__('this instance is stopping', STOPPING_RETRY_S)


class ServersUnreached(RequestRefused):
    """Raised when the chosen servers accept no connection."""
