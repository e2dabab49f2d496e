"""Report a demonstration that did not go as it should."""


class DemoError(Exception):
    """Say why the demonstration failed."""
