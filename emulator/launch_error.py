"""Report a process that did not start."""


class LaunchError(Exception):
    """Report that a process ended or said nothing instead of listening."""
