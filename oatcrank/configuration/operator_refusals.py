"""Refuse what operators ask in vain."""

from http import HTTPStatus

from oatcrank import errors, refusal
from oatcrank.configuration import change_refusal


def bad_request(message: str) -> refusal.Refusal:
    """Refuse what was asked."""
    return refusal.Refusal(
        code=refusal.Code.bad_request,
        message=message,
        run_state=refusal.RunState.did_not_run,
        status=HTTPStatus.BAD_REQUEST,
    )


def never_created(name: str) -> refusal.Refusal:
    """Refuse the name of a profile that never was."""
    return refusal.Refusal(
        code=refusal.Code.not_found,
        message=f'no profile {name} was ever created',
        run_state=refusal.RunState.did_not_run,
        status=HTTPStatus.NOT_FOUND,
    )


def uninformed() -> refusal.Refusal:
    """Refuse to read for an instance that has not read the log yet."""
    return refusal.Refusal(
        code=refusal.Code.platform_unavailable,
        message='this instance has just started and knows no profiles yet',
        run_state=refusal.RunState.did_not_run,
        retry_after_s=change_refusal.RETRY_AFTER_S,
    )


def unreadable(error: errors.PlatformError) -> refusal.Refusal:
    """Refuse what cannot be read from the key-value service now."""
    return refusal.Refusal(
        code=refusal.Code.platform_unavailable,
        message=f'older changes cannot be read now: {error}',
        run_state=refusal.RunState.did_not_run,
        retry_after_s=change_refusal.RETRY_AFTER_S,
    )
