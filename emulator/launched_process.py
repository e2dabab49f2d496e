"""Control a process that a launcher started."""

import asyncio
import signal

from emulator import launch_error

READY_FIELDS = 3


class LaunchedProcess:
    """Process that can be signalled and awaited."""

    def __init__(
        self,
        name: str,
        process: asyncio.subprocess.Process,
    ) -> None:
        """Wrap a process that is not ready yet."""
        self.name = name
        self.address = ''
        self._process = process

    async def wait_until_ready(self, timeout_s: float) -> None:
        """Read the address from the ready line; raises LaunchError."""
        try:
            async with asyncio.timeout(timeout_s):
                line = await self._first_line()
        except TimeoutError as error:
            raise launch_error.LaunchError(
                f'{self.name} printed no ready line in {timeout_s} s'
            ) from error
        fields = line.split()
        if len(fields) != READY_FIELDS or fields[0] != 'ready':
            raise launch_error.LaunchError(
                f'{self.name} printed {line!r} instead of a ready line'
            )
        self.address = fields[-1]

    async def output(self) -> str:
        """Return the rest of standard output."""
        if self._process.stdout is None:
            return ''
        return (await self._process.stdout.read()).decode()

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self._process.returncode is None

    def pause(self) -> None:
        """Pause the process with SIGSTOP."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Request a graceful stop."""
        self._signal(signal.SIGTERM)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self._signal(signal.SIGKILL)
        await self._process.wait()

    async def wait(self) -> int:
        """Wait for the end of the process and return its exit status."""
        return await self._process.wait()

    async def stop(self, grace_s: float) -> int:
        """Request a stop and kill the process after grace_s seconds."""
        self.resume()
        self.terminate()
        try:
            async with asyncio.timeout(grace_s):
                return await self._process.wait()
        except TimeoutError:
            await self.kill()
        return await self._process.wait()

    async def _first_line(self) -> str:
        if self._process.stdout is None:
            return ''
        return (await self._process.stdout.readline()).decode()

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running:
            self._process.send_signal(number)
