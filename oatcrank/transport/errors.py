"""Define the errors of connections to backend servers."""

from oatcrank import errors


class ConnectFailed(errors.NotStarted):
    """Raised if no connection could be opened."""


class ConnectionRefused(ConnectFailed):
    """Raised if no process listens at an address."""


class ConnectionBroken(errors.Interrupted):
    """Raised if a connection ended early or sent an invalid answer."""
