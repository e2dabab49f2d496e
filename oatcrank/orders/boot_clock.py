"""Clock that keeps running while the machine is suspended."""

import time


def now() -> float:
    """Return the seconds since the machine was booted."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
