"""Detect server crashes after interrupted answers."""

import asyncio
import enum
from collections.abc import Callable, Collection

import msgspec

from oatcrank import logs
from oatcrank.routing import crash, server, server_process
from oatcrank.transport import backend_connection, errors

# A server is checked this long after an interrupted request; requests that
# are interrupted until then are covered by the same check.
CHECK_DELAY_S = 0.05
CONNECT_TIMEOUT_S = 0.5

OnCrash = Callable[[crash.Crash, float], None]


class Interruption(msgspec.Struct, frozen=True):
    """An interrupted request; prompt is None if it can't be the cause.

    answered: the server had answered the prompt with an event.
    """

    request: crash.RequestKey
    prompt: crash.Prompt | None = None
    answered: bool = False


class _ConnectionState(enum.Enum):
    accepted = 'the server runs'
    refused = 'no process listens'
    unreached = 'nothing is known of the process'


class CrashDetector:
    """Report the requests that ran on a server when it crashed."""

    def __init__(self, on_crash: OnCrash) -> None:
        """Call on_crash with each crash and its time."""
        self._on_crash = on_crash
        self._interruptions_by_id: dict[
            server_process.ServerProcess, set[Interruption]
        ] = {}
        self._checks: set[asyncio.Task[None]] = set()

    def record_interruption(
        self, target: server.Server, interrupted: Interruption
    ) -> None:
        """Record an interrupted request and check the server soon after."""
        crash_id = target.registration.process
        interruptions = self._interruptions_by_id.get(crash_id)
        if interruptions is not None:
            interruptions.add(interrupted)
            return
        self._interruptions_by_id[crash_id] = {interrupted}
        check = asyncio.ensure_future(self._check(target, crash_id))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    async def _check(
        self, target: server.Server, crash_id: server_process.ServerProcess
    ) -> None:
        await asyncio.sleep(CHECK_DELAY_S)
        state = await _connection_state(target)
        interruptions = self._interruptions_by_id.pop(crash_id)
        if state is _ConnectionState.accepted:
            return
        now_s = asyncio.get_running_loop().time()
        target.suspend(now_s)
        if state is _ConnectionState.unreached:
            # The link or the machine has failed: no request is the cause.
            logs.event('server_unreached', server=crash_id.server_id)
            return
        report = _report(crash_id, interruptions)
        logs.event(
            'server_crashed',
            server=crash_id.server_id,
            suspects=len(report.requests),
            fingerprints=crash.fingerprints_text(
                key.whole for key in report.requests
            ),
            parts=_log_text(report.suspects),
        )
        self._on_crash(report, now_s)


async def _connection_state(target: server.Server) -> _ConnectionState:
    """Return what becomes of a new connection to a server."""
    try:
        connection = await backend_connection.connect(
            target.registration.host,
            target.registration.port,
            CONNECT_TIMEOUT_S,
        )
    except errors.ConnectionRefused:
        return _ConnectionState.refused
    except errors.ConnectFailed:
        return _ConnectionState.unreached
    connection.close()
    return _ConnectionState.accepted


def _report(
    crash_id: server_process.ServerProcess,
    interruptions: Collection[Interruption],
) -> crash.Crash:
    return crash.Crash(
        crash_id=crash_id,
        requests=tuple({interrupted.request for interrupted in interruptions}),
        prompts=_prompts(interruptions, answered=False),
        answered_prompts=_prompts(interruptions, answered=True),
    )


def _prompts(
    interruptions: Collection[Interruption], *, answered: bool
) -> tuple[crash.Prompt, ...]:
    return tuple(
        interrupted.prompt
        for interrupted in interruptions
        if interrupted.prompt is not None and interrupted.answered is answered
    )


def _log_text(prompts: Collection[crash.Prompt]) -> str:
    """Return the parts of each prompt whose answer had begun."""
    return ' '.join(
        '/'.join(prompt.parts) for prompt in prompts if prompt.begun
    )
