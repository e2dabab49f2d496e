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
        self._requests.record_crash(report, now_s)
        self._parts.record_crash(report, now_s)
        self._publisher.publish_crash(report)


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
