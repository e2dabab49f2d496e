"""Hold one process that a launcher started."""

import asyncio
import signal

from emulator import launch_error

READY_FIELDS = 3


class Launched:
    """Signal and await one process by its id."""

    def __init__(
        self,
        name: str,
        process: asyncio.subprocess.Process,
    ) -> None:
        """Hold a process that has yet to listen."""
        self.name = name
        self.address = ''
        self._process = process

    async def ready(self, timeout_s: float) -> None:
        """Learn the address from the ready line, or raise LaunchError."""
        try:
            async with asyncio.timeout(timeout_s):
                line = await self._first_line()
        except TimeoutError as error:
            raise launch_error.LaunchError(
                f'{self.name} did not say that it is ready'
            ) from error
        fields = line.split()
        if len(fields) != READY_FIELDS or fields[0] != 'ready':
            raise launch_error.LaunchError(
                f'{self.name} said {line!r} instead of being ready'
            )
        self.address = fields[-1]

    async def output(self) -> str:
        """Return standard output up to its end."""
        if self._process.stdout is None:
            return ''
        return (await self._process.stdout.read()).decode()

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process has not ended yet."""
        return self._process.returncode is None

    def pause(self) -> None:
        """Stop the process where it stands."""
        self._signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let a paused process go on."""
        self._signal(signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to stop as planned."""
        self._signal(signal.SIGTERM)

    async def kill(self) -> None:
        """End the process at once and wait until it is gone."""
        self._signal(signal.SIGKILL)
        await self._process.wait()

    async def wait(self) -> int:
        """Return the exit status once the process has ended."""
        return await self._process.wait()

    async def stop(self, grace_s: float) -> int:
        """Ask the process to stop, and kill it after grace_s seconds."""
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
