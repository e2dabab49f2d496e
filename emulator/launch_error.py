"""Define the error of a process that did not start."""


class LaunchError(Exception):
    """Raised when a process does not report that it is ready."""
