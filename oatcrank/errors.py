"""Define the errors that callers of this package can see."""


class OatcrankError(Exception):
    """Be the base of every error that this package raises."""


class PlatformError(OatcrankError):
    """Report that a service of the platform could not be used."""


class Unavailable(PlatformError):
    """Report that a call was refused before it could take effect."""


class UnknownOutcome(PlatformError):
    """Report that a call may have taken effect: its answer was lost."""


class Conflict(PlatformError):
    """Report that a key's revision was not the one expected."""

    def __init__(self, key: str, revision: int) -> None:
        """Keep the revision found in place of the expected one."""
        super().__init__(f'{key} is at revision {revision}')
        self.key = key
        self.revision = revision


class BackendError(OatcrankError):
    """Report that a backend server did not do what it was asked."""


class NotStarted(BackendError):
    """Report that a backend server certainly did not run the request."""


class Interrupted(BackendError):
    """Report that a backend server may have run the request, or part of it."""


class SettingsError(OatcrankError):
    """Report every fault of a settings file at once."""


class NotPermitted(NotStarted):
    """Report that the claim of a request no longer lets it be sent."""


class NotLoaded(NotStarted):
    """Report that a backend server does not hold the model or adapter."""


class Busy(NotStarted):
    """Report that a backend server's queue is full."""
