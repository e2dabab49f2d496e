"""Define the errors of connections to backend servers."""

from oatcrank import errors


class ConnectFailed(errors.NotStarted):
    """Raised when no connection could be opened."""


class ConnectionRefused(ConnectFailed):
    """Raised when no process listens at an address."""


class ConnectionBroken(errors.Interrupted):
    """Raised when a connection ended early or sent an invalid answer."""
