"""Tell the time on a clock that runs on while a machine is suspended."""

import time


def now() -> float:
    """Return seconds since the machine has started."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
