"""Route log records of libraries to the event log."""

import logging

from eliot import stdlib


def attach() -> None:
    """Log records of the standard library's root logger as events."""
    logging.getLogger().addHandler(stdlib.EliotHandler())
