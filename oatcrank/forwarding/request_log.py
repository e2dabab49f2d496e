"""Log the attempts of a request and how streams ended."""

from oatcrank import logs
from oatcrank.forwarding import (
    answer_end,
    attempt_result,
    attempt_state,
    caller_request,
    crash_guard,
)
from oatcrank.routing import server

Fields = dict[str, str | int]
MAX_TARGET_BYTES = 200


def log_failed_attempt(
    request: caller_request.CallerRequest,
    identity: crash_guard.RequestIdentity,
    chosen: server.Server,
    result: attempt_result.AttemptResult,
    step: attempt_state.Step,
) -> None:
    """Log why an attempt failed and what follows."""
    logs.event(
        'attempt_failed',
        request=request.request_id,
        server=chosen.server_id,
        version=chosen.registration.software_version,
        progress=result.progress.name,
        reason=result.reason,
        step=step.name,
        **part_fields(request),
        **end_fields(result.end),
        **_suspect_fields(request, identity, result.progress),
    )


def _suspect_fields(
    request: caller_request.CallerRequest,
    identity: crash_guard.RequestIdentity,
    progress: attempt_state.Progress,
) -> Fields:
    """Return what identifies a request that may have crashed its server."""
    if progress is not attempt_state.Progress.written:
        return {}
    return {
        'fingerprint': identity.key.whole,
        'caller': request.caller,
        'target': request.target[:MAX_TARGET_BYTES].decode('latin-1'),
        'body_bytes': len(request.body),
    }


def part_fields(request: caller_request.CallerRequest) -> Fields:
    """Return the log fields of a prompt's parts; none without shared ones."""
    if not request.shared_parts:
        return {}
    return {'parts': '/'.join(request.shared_parts)}


def end_fields(end: answer_end.AnswerEnd | None) -> Fields:
    """Return the log fields of a stream's end; none without a stream."""
    if end is None:
        return {}
    return {
        'framing': end.framing.name,
        'ending': end.ending.name,
        'events': end.event_count,
        'partial_bytes': end.partial_bytes,
    }


def resumption_fields(request: caller_request.CallerRequest) -> Fields:
    """Return the log fields of a stream that a caller takes up again."""
    if request.last_event_id is None:
        return {}
    return {
        'resumes': request.resumed_id or '',
        'last_event': request.last_event_id,
    }
