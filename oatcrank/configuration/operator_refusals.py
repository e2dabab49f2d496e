"""Define refusals of operators' requests."""

from http import HTTPStatus

from oatcrank import errors, refusal
from oatcrank.configuration import change_refusal


def bad_request(message: str) -> refusal.Refusal:
    """Refuse an invalid request."""
    return refusal.Refusal(
        code=refusal.Code.bad_request,
        message=message,
        run_state=refusal.RunState.did_not_run,
        status=HTTPStatus.BAD_REQUEST,
    )


def unknown_profile(name: str) -> refusal.Refusal:
    """Refuse a request for an unknown profile."""
    return refusal.Refusal(
        code=refusal.Code.not_found,
        message=f'no profile {name} was ever created',
        run_state=refusal.RunState.did_not_run,
        status=HTTPStatus.NOT_FOUND,
    )


def not_ready() -> refusal.Refusal:
    """Refuse a read before this instance has read the change log."""
    return refusal.Refusal(
        code=refusal.Code.platform_unavailable,
        message='this instance has just started; profiles not loaded yet',
        run_state=refusal.RunState.did_not_run,
        retry_after_s=change_refusal.RETRY_AFTER_S,
    )


def changes_unavailable(error: errors.PlatformError) -> refusal.Refusal:
    """Refuse a read that the key-value service cannot serve now."""
    return refusal.Refusal(
        code=refusal.Code.platform_unavailable,
        message=f'older changes are temporarily unavailable: {error}',
        run_state=refusal.RunState.did_not_run,
        retry_after_s=change_refusal.RETRY_AFTER_S,
    )
