"""Start and stop the processes of demonstrations and tests."""

import asyncio
import os
import pathlib
import socket
import sys
from types import TracebackType

import msgspec

from emulator import command_result, launched_process, stand_in

READY_TIMEOUT_S = 20
STOP_GRACE_S = 5
ROOT = pathlib.Path(__file__).parent.parent


class Launcher:
    """Start processes and stop exactly these on exit."""

    def __init__(self, log_directory: pathlib.Path | None = None) -> None:
        """Create a launcher; logs are discarded without a directory."""
        self._log_directory = log_directory
        self._started: list[launched_process.LaunchedProcess] = []
        self._spawns: set[asyncio.Task[launched_process.LaunchedProcess]] = (
            set()
        )

    async def __aenter__(self) -> 'Launcher':
        """Return the launcher."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop the processes that still run."""
        await asyncio.gather(*self._spawns, return_exceptions=True)
        await asyncio.gather(
            *(process.stop(STOP_GRACE_S) for process in self._started)
        )

    async def start_stand_in(
        self,
        kind: str,
        config: msgspec.Struct,
        *,
        port: int = 0,
        name: str = '',
    ) -> launched_process.LaunchedProcess:
        """Start a stand-in; raises LaunchError."""
        arguments = [
            *('-m', 'emulator', kind, '--port', str(port)),
            *('--config', msgspec.json.encode(config).decode()),
        ]
        return await self.start_python(name or kind, arguments)

    async def start_entry(
        self, settings_file: pathlib.Path
    ) -> launched_process.LaunchedProcess:
        """Start an entry instance; raises LaunchError."""
        arguments = ['-m', 'oatcrank', 'serve', '--settings']
        return await self.start_python(
            settings_file.stem, [*arguments, str(settings_file)]
        )

    async def start_python(
        self,
        name: str,
        arguments: list[str],
    ) -> launched_process.LaunchedProcess:
        """Start Python and wait for the ready line; raises LaunchError."""
        process = await self._spawn(name, arguments)
        await process.wait_until_ready(READY_TIMEOUT_S)
        return process

    async def run_command(
        self, arguments: list[str]
    ) -> command_result.CommandResult:
        """Run Python to the end of the process."""
        process = await self._spawn('command', arguments)
        return command_result.CommandResult(
            output=await process.output(), status=await process.wait()
        )

    async def _spawn(
        self,
        name: str,
        arguments: list[str],
    ) -> launched_process.LaunchedProcess:
        # A cancelled start must still record its process so that it is stopped.
        spawn = asyncio.create_task(self._start(name, arguments))
        self._spawns.add(spawn)
        spawn.add_done_callback(self._spawns.discard)
        return await asyncio.shield(spawn)

    async def _start(
        self,
        name: str,
        arguments: list[str],
    ) -> launched_process.LaunchedProcess:
        log_file = pathlib.Path(os.devnull)
        if self._log_directory is not None:
            log_file = self._log_directory / f'{name}.log'
        with log_file.open('ab') as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                *arguments,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
            )
        started = launched_process.LaunchedProcess(name, process)
        self._started.append(started)
        return started


def free_port() -> int:
    """Return a free port; another process may take it before use."""
    with socket.socket() as probe:
        probe.bind((stand_in.HOST, 0))
        return int(probe.getsockname()[1])
