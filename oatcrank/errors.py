"""Define the exceptions that this package raises."""


class OatcrankError(Exception):
    """Base class for all exceptions of this package."""


class PlatformError(OatcrankError):
    """Raised when a service of the platform could not be used."""


class Unavailable(PlatformError):
    """Raised when a call failed before it could take effect."""


class UnknownOutcome(PlatformError):
    """Raised when a call may have taken effect, but its answer was lost."""


class Conflict(PlatformError):
    """Raised when a key's revision was not the expected one."""

    def __init__(self, key: str, revision: int) -> None:
        """Hold the key and its actual revision."""
        super().__init__(f'{key} is at revision {revision}')
        self.key = key
        self.revision = revision


class BackendError(OatcrankError):
    """Raised when a request to a backend server failed."""


class NotStarted(BackendError):
    """Raised when a backend server certainly did not run the request."""


class Interrupted(BackendError):
    """Raised when a backend server may have run the request or part of it."""


class SettingsError(OatcrankError):
    """Raised with all problems in a settings file."""


class NotPermitted(NotStarted):
    """Raised when the claim of a request no longer permits sending it."""


class NotLoaded(NotStarted):
    """Raised when a backend server has not loaded the model or adapter."""


class Busy(NotStarted):
    """Raised when a backend server's queue is full."""
