"""Define the ends of a request that has no answer of a server."""

from oatcrank import errors


class Refused(errors.OatcrankError):
    """Report that a request won't be sent (again), and when to come back."""

    def __init__(self, reason: str, return_s: float) -> None:
        """Keep the reason, and the pause in seconds."""
        super().__init__(reason)
        self.reason = reason
        self.return_s = return_s
