"""Build the refusals that concern claims."""

from http import HTTPStatus

from oatcrank import ids, refusal

RETRY_AFTER_S = 1.0


def platform_unavailable(
    request_id: ids.RequestId,
    error: object,
) -> refusal.Refused:
    """Refuse a request whose claim failed; it did not run."""
    return refusal.Refused(
        refusal.Refusal(
            code=refusal.Code.platform_unavailable,
            message=f'the request could not be claimed: {error}',
            run_state=refusal.RunState.did_not_run,
            request_id=request_id,
            retry_after_s=RETRY_AFTER_S,
        ),
    )


def key_reused(request_id: ids.RequestId) -> refusal.Refused:
    """Refuse a request that reuses a key with a different body."""
    return refusal.Refused(
        refusal.Refusal(
            code=refusal.Code.key_reused,
            message='the idempotency key was used with a different body',
            run_state=refusal.RunState.did_not_run,
            request_id=request_id,
            status=HTTPStatus.UNPROCESSABLE_ENTITY,
        ),
    )


def outcome_unknown(request_id: ids.RequestId) -> refusal.Refused:
    """Refuse a resend if the outcome of the first attempt is unknown."""
    return refusal.Refused(
        refusal.Refusal(
            code=refusal.Code.outcome_unknown,
            message='an earlier attempt with this key may have run',
            run_state=refusal.RunState.may_have_run,
            request_id=request_id,
            status=HTTPStatus.BAD_GATEWAY,
        ),
    )


def answer_not_kept(
    request_id: ids.RequestId,
    retry_after_s: float | None = None,
) -> refusal.Refused:
    """Refuse a resend if the first attempt ran but its answer is not kept."""
    return refusal.Refused(
        refusal.Refusal(
            code=refusal.Code.answer_not_kept,
            message='the request ran, but its answer is no longer available',
            run_state=refusal.RunState.ran,
            request_id=request_id,
            retry_after_s=retry_after_s,
            status=HTTPStatus.CONFLICT,
        ),
    )


def withdrawn(request_id: ids.RequestId) -> refusal.Refused:
    """Refuse a resend if the first attempt was withdrawn meanwhile."""
    return refusal.Refused(
        refusal.Refusal(
            code=refusal.Code.interrupted,
            message='the attempt was withdrawn before it ran',
            run_state=refusal.RunState.did_not_run,
            request_id=request_id,
            retry_after_s=RETRY_AFTER_S,
            status=HTTPStatus.BAD_GATEWAY,
        ),
    )
