"""Describe the machine that measures the slopes."""

import os
import platform


def describe() -> str:
    """Return system, processor and Python version, without the host name."""
    return (
        f'{platform.system()} {platform.machine()}, {os.cpu_count()} cores, '
        f'Python {platform.python_version()}'
    )
