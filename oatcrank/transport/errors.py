"""Define what can go wrong on a connection to a backend server."""

from oatcrank import errors


class ConnectFailed(errors.NotStarted):
    """Report that no connection could be opened."""


class Refused(ConnectFailed):
    """Report that no process listens at an address."""


class Broken(errors.Interrupted):
    """Report that a connection ended or sent what is no answer."""
