"""Name the machine that slopes were measured on."""

import os
import platform


def described() -> str:
    """Return the kind of machine, without its name."""
    return (
        f'{platform.system()} {platform.machine()}, {os.cpu_count()} cores, '
        f'Python {platform.python_version()}'
    )
