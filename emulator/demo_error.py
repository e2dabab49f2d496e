"""Define the error of a failed demonstration."""


class DemoError(Exception):
    """Raised when a step of the demonstration fails."""
