"""Detect server crashes after interrupted answers."""

import asyncio
import enum
from collections.abc import Callable, Collection

from oatcrank import logs
from oatcrank.forwarding import crash_case, process_watch
from oatcrank.routing import (
    crash,
    server,
    server_process,
    server_registration,
)

# A server is checked this long after an interrupted request; requests that
# are interrupted until then are covered by the same check.
CHECK_DELAY_S = 0.05

OnCrash = Callable[[crash.Crash, float], None]


class _Source(enum.Enum):
    """How a crash was found."""

    connection = 'connection'
    registration = 'registration'


class CrashDetector:
    """Report the requests that ran on a server when it crashed."""

    def __init__(self, on_crash: OnCrash) -> None:
        """Call on_crash with each crash and its time."""
        self._on_crash = on_crash
        self._case_by_process: dict[
            server_process.ServerProcess, crash_case.CrashCase
        ] = {}

    def record_interruption(
        self,
        target: server.Server,
        interruption: crash_case.Interruption,
        on_whole: crash_case.OnWhole | None = None,
    ) -> None:
        """Record an interrupted request and watch the server for a while.

        on_whole is given for an answer that ended with its connection: it is
        called if the server has not crashed, so that the answer was whole.
        """
        now_s = asyncio.get_running_loop().time()
        process = target.registration.process
        case = self._case_by_process.get(process)
        if case is None:
            case = crash_case.CrashCase(target)
            self._case_by_process[process] = case
        case.add(interruption, now_s, on_whole)
        if case.watching is None:
            case.watching = asyncio.ensure_future(self._watch(case))

    def record_running(self, target: server.Server, sent_s: float) -> None:
        """Record that a process has answered a request sent at a time."""
        case = self._case_by_process.get(target.registration.process)
        if case is not None:
            case.record_running(sent_s)

    def record_registered(
        self, registration: server_registration.Registration
    ) -> None:
        """Report a crash if a process takes the place of a suspected one."""
        for case in tuple(self._case_by_process.values()):
            if case.is_replaced_by(registration):
                self._report(case, _Source.registration)

    async def _watch(self, case: crash_case.CrashCase) -> None:
        await asyncio.sleep(CHECK_DELAY_S)
        state = await process_watch.watch(
            case.target,
            lambda: case.last_recorded_s + crash_case.ENDING_S,
        )
        case.watching = None
        if state is process_watch.ProcessState.ended:
            case.target.suspend(asyncio.get_running_loop().time())
            self._report(case, _Source.connection)
            return
        logs.event(
            'server_crash_not_confirmed',
            server=case.process.server_id,
            state=state.name,
            suspects=len(case.interruptions),
        )
        if state is process_watch.ProcessState.unreached:
            # The link or the machine has failed: no request is the cause.
            self._end(case)
            case.target.suspend(asyncio.get_running_loop().time())
        else:
            self._expire_later(case)

    def _expire_later(self, case: crash_case.CrashCase) -> None:
        asyncio.get_running_loop().call_later(
            crash_case.REPLACEMENT_S, self._expire, case
        )

    def _expire(self, case: crash_case.CrashCase) -> None:
        """Settle what is too old to be explained by another process."""
        if self._case_by_process.get(case.process) is not case:
            # The process has crashed.
            return
        now_s = asyncio.get_running_loop().time()
        case.record_running(now_s - crash_case.REPLACEMENT_S)
        if case.watching is not None:
            # The end of that watch comes back to this.
            return
        if case.is_empty:
            self._end(case)
        else:
            self._expire_later(case)

    def _end(self, case: crash_case.CrashCase) -> None:
        self._case_by_process.pop(case.process, None)
        if case.watching is not None:
            case.watching.cancel()

    def _report(self, case: crash_case.CrashCase, source: _Source) -> None:
        self._end(case)
        if case.is_empty:
            # The process has answered since.
            return
        now_s = asyncio.get_running_loop().time()
        report = _crash(case.process, case.interruptions)
        logs.event(
            'server_crashed',
            server=case.process.server_id,
            source=source.value,
            suspects=len(report.requests),
            fingerprints=crash.fingerprints_text(
                key.whole for key in report.requests
            ),
            parts=_log_text(report.suspects),
        )
        self._on_crash(report, now_s)


def _crash(
    crash_id: server_process.ServerProcess,
    interruptions: Collection[crash_case.Interruption],
) -> crash.Crash:
    return crash.Crash(
        crash_id=crash_id,
        requests=tuple(
            {interruption.request for interruption in interruptions}
        ),
        prompts=_prompts(interruptions, answered=False),
        answered_prompts=_prompts(interruptions, answered=True),
    )


def _prompts(
    interruptions: Collection[crash_case.Interruption], *, answered: bool
) -> tuple[crash.Prompt, ...]:
    return tuple(
        {
            interruption.prompt
            for interruption in interruptions
            if interruption.prompt is not None
            and interruption.answered is answered
        }
    )


def _log_text(prompts: Collection[crash.Prompt]) -> str:
    """Return the parts of each prompt whose answer had begun."""
    return ' '.join(
        '/'.join(prompt.parts) for prompt in prompts if prompt.begun
    )
