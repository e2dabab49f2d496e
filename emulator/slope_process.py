"""Read the resource use of a measured process."""

import asyncio
import os
import pathlib
import signal

import msgspec

from emulator import launched_process, poll, slope_counts

PROC = pathlib.Path('/proc')
WRITE_TIMEOUT_S = 10
KB_PER_MB = 1024
TICKS_PER_S = os.sysconf('SC_CLK_TCK')
# Fields of /proc/PID/stat after the command's name: user ticks, system ticks.
USER_TICKS_FIELD = 11


class ProcessUsage(msgspec.Struct, frozen=True, kw_only=True):
    """Totals of a process since its start, and its memory now."""

    cpu_s: float
    memory_mb: float
    counts: slope_counts.SlopeCounts


async def read(
    process: launched_process.LaunchedProcess, path: pathlib.Path
) -> ProcessUsage:
    """Make the process write its counts, and return its resource use."""
    path.unlink(missing_ok=True)
    os.kill(process.pid, signal.SIGUSR1)
    async with asyncio.timeout(WRITE_TIMEOUT_S):
        await poll.until(path.exists)
    return ProcessUsage(
        cpu_s=_cpu_s(process.pid),
        memory_mb=_memory_mb(process.pid),
        counts=msgspec.json.decode(
            path.read_bytes(), type=slope_counts.SlopeCounts
        ),
    )


def _cpu_s(pid: int) -> float:
    text = (PROC / str(pid) / 'stat').read_text()
    fields = text.rpartition(')')[2].split()
    ticks = fields[USER_TICKS_FIELD : USER_TICKS_FIELD + 2]
    return sum(map(int, ticks)) / TICKS_PER_S


def _memory_mb(pid: int) -> float:
    lines = (PROC / str(pid) / 'status').read_text().splitlines()
    rss_line = next(line for line in lines if line.startswith('VmRSS:'))
    return int(rss_line.split()[1]) / KB_PER_MB
