"""Bring what libraries log among the events."""

import logging

from eliot import stdlib


def attach() -> None:
    """Turn the standard library's log records into events."""
    logging.getLogger().addHandler(stdlib.EliotHandler())
