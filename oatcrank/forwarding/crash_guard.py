"""Refuse requests that crash servers, and collect the evidence for it."""

import abc
from collections.abc import Collection

import msgspec

from oatcrank import fingerprints, ids, logs
from oatcrank.forwarding import (
    attempt_result,
    caller_request,
    crash_case,
    crash_detector,
)
from oatcrank.routing import (
    crash,
    crashing_parts,
    crashing_requests,
    server,
    server_registration,
)

HEX_BASE = 16
# A server may send so many events of an answer before it crashes of the prompt.
MAX_EVENTS_BEFORE_CRASH = 2


class CrashPublisher(abc.ABC):
    """Interface to tell the other instances about crashes."""

    @abc.abstractmethod
    def publish_crash(self, report: crash.Crash) -> None:
        """Report the requests that a crash interrupted."""

    @abc.abstractmethod
    def publish_answered(
        self,
        parts: Collection[ids.PromptPart],
        request_fingerprints: Collection[ids.RequestFingerprint],
        answered_s: float,
    ) -> None:
        """Report that a server has answered what was suspected of crashes."""


class RequestIdentity(msgspec.Struct, frozen=True):
    """What identifies a request, and the parts it shares with others."""

    key: crash.RequestKey
    parts: tuple[ids.PromptPart, ...]


class Trial(msgspec.Struct, frozen=True):
    """What a request tries that is refused otherwise."""

    parts: tuple[ids.PromptPart, ...]
    fingerprints: tuple[ids.RequestFingerprint, ...]

    def __bool__(self) -> bool:
        """Return whether the request tries anything."""
        return bool(self.parts or self.fingerprints)


class CrashGuard:
    """Decide which requests are refused because they crash servers."""

    def __init__(
        self,
        requests: crashing_requests.CrashingRequests,
        parts: crashing_parts.CrashingParts,
        publisher: CrashPublisher,
    ) -> None:
        """Use the records of an instance, and publish what it sees itself."""
        self._requests = requests
        self._parts = parts
        self._publisher = publisher
        self._detector = crash_detector.CrashDetector(self._record_crash)

    def record_registered(
        self, registration: server_registration.Registration
    ) -> None:
        """Record that a process of a server has registered."""
        self._detector.record_registered(registration)

    def refusal_reason(self, identity: RequestIdentity) -> str | None:
        """Return why a request must not be sent, or None if it may be."""
        if self._requests.is_refused(identity.key):
            return 'the request may crash servers'
        part = self._parts.refused_part(identity.parts)
        if part is not None:
            return f'part {part} of the prompt crashes servers'
        return None

    def trial_of(self, identity: RequestIdentity) -> Trial:
        """Return what a request would try if it were sent now."""
        return Trial(
            self._parts.trials_of(identity.parts),
            self._requests.trials_of(identity.key),
        )

    def begin_trial(self, identity: RequestIdentity) -> Trial:
        """Let no other request try what this one does, which is sent now."""
        trial = self.trial_of(identity)
        if trial:
            self._parts.end_trials(trial.parts)
            self._requests.end_trials(trial.fingerprints)
            logs.event('crash_cause_tried', **_log_fields(trial))
        return trial

    def return_trial(self, trial: Trial) -> None:
        """Let another request try what this one did not: it has not run."""
        if trial:
            logs.event('crash_cause_not_tried', **_log_fields(trial))
        for part in trial.parts:
            self._parts.open_trial(part)
        for fingerprint in trial.fingerprints:
            self._requests.open_trial(fingerprint)

    def record_events(
        self, identity: RequestIdentity, event_count: int, now_s: float
    ) -> bool:
        """Clear the parts of a prompt if its answer is past any crash.

        Return whether it is.
        """
        if event_count <= MAX_EVENTS_BEFORE_CRASH:
            return False
        parts = self._parts.record_answer(identity.parts, now_s)
        if parts:
            logs.event('prompt_parts_cleared', parts=','.join(parts))
            self._publisher.publish_answered(parts, (), now_s)
        return True

    def record_interruption(
        self,
        target: server.Server,
        identity: RequestIdentity,
        result: attempt_result.AttemptResult,
    ) -> None:
        """Record an interrupted request, and watch whether its server runs."""
        self._detector.record_interruption(
            target, _interruption(identity, result)
        )

    def record_answer(
        self,
        target: server.Server,
        identity: RequestIdentity,
        result: attempt_result.AttemptResult,
        now_s: float,
    ) -> None:
        """Record that a server has answered a request to its end.

        An answer that ended with its connection counts once it is known that
        the server has not crashed.
        """
        if result.ends_with_connection:
            self._detector.record_interruption(
                target,
                _interruption(identity, result),
                lambda at_s: self._clear(identity, at_s),
            )
            return
        self._detector.record_running(target, result.sent_s)
        self._clear(identity, now_s)

    def _clear(self, identity: RequestIdentity, now_s: float) -> None:
        """Clear what a server has answered."""
        answered = self._requests.record_answer(identity.key, now_s)
        if answered:
            logs.event(
                'request_cleared',
                fingerprints=crash.fingerprints_text(answered),
            )
        parts = self._parts.record_answer(identity.parts, now_s)
        if parts:
            logs.event('prompt_parts_cleared', parts=','.join(parts))
        if answered or parts:
            self._publisher.publish_answered(parts, answered, now_s)

    def _record_crash(self, report: crash.Crash, now_s: float) -> None:
        often_answered = crash.OftenAnswered(
            self._requests.often_answered(report.requests),
            self._parts.often_answered(report.suspects),
        )
        self._requests.record_crash(report, now_s)
        self._parts.record_crash(report, now_s)
        self._publisher.publish_crash(
            msgspec.structs.replace(report, often_answered=often_answered)
        )


def identity_of(request: caller_request.CallerRequest) -> RequestIdentity:
    """Return the identity of a caller's request, as a server sees it."""
    host = request.host.encode()
    path = request.target.partition(b'?')[0]
    prompt = f'{request.model} {request.adapter} {request.prefix}'.encode()
    return RequestIdentity(
        key=crash.RequestKey(
            whole=_fingerprint(
                request.method, host, request.target, prompt, request.body
            ),
            path=_fingerprint(request.method, host, path, request.body),
        ),
        parts=request.shared_parts,
    )


def _log_fields(trial: Trial) -> dict[str, str]:
    return {
        'parts': ','.join(trial.parts),
        'fingerprints': crash.fingerprints_text(trial.fingerprints),
    }


def _interruption(
    identity: RequestIdentity, result: attempt_result.AttemptResult
) -> crash_case.Interruption:
    prompt = None
    if identity.parts and result.event_count <= MAX_EVENTS_BEFORE_CRASH:
        prompt = crash.Prompt(
            identity.parts,
            result.framing is not None,
            int(identity.key.whole, HEX_BASE),
        )
    return crash_case.Interruption(
        identity.key, prompt, answered=result.event_count > 0
    )


def _fingerprint(*components: bytes) -> ids.RequestFingerprint:
    return ids.RequestFingerprint(f'{fingerprints.fingerprint(*components):x}')
