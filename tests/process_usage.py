"""Read what a process uses of its machine."""

import contextlib
import os
import pathlib


def peak_mb(pid: int) -> float:
    """Return the most memory that a process has used, in MB."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    (line,) = (line for line in status.splitlines() if 'VmHWM' in line)
    return int(line.split()[1]) / 1000


def socket_count(pid: int) -> int:
    """Return the number of open sockets and pipes."""
    links = []
    for entry in pathlib.Path(f'/proc/{pid}/fd').iterdir():
        # It may be closed meanwhile.
        with contextlib.suppress(FileNotFoundError):
            links.append(os.readlink(entry))
    return sum(link.startswith(('socket:', 'pipe:')) for link in links)
