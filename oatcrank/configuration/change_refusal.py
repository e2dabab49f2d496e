"""Convert errors of the configuration to refusals."""

from http import HTTPStatus

from oatcrank import ids, refusal
from oatcrank.configuration import change_errors, profile_state

RETRY_AFTER_S = 1.0


class ChangeRefusal(refusal.Refusal, frozen=True, kw_only=True):
    """Add the change id and the profile's current state to a refusal."""

    change_id: ids.ChangeId
    current: profile_state.ProfileState | None = None


def refusal_of(
    error: change_errors.ConfigurationError,
    change_id: ids.ChangeId,
) -> ChangeRefusal:
    """Return the refusal of a change that was not accepted."""
    if isinstance(error, change_errors.ChangeConflict):
        return ChangeRefusal(
            code=refusal.Code.conflict,
            message=f'{error}; base the change on the current revision',
            run_state=refusal.RunState.did_not_run,
            status=HTTPStatus.CONFLICT,
            change_id=change_id,
            current=error.current,
        )
    if isinstance(error, change_errors.ChangeOutcomeUnknown):
        return ChangeRefusal(
            code=refusal.Code.outcome_unknown,
            message=f'{error}; send the same change again with this change_id',
            run_state=refusal.RunState.may_have_run,
            retry_after_s=RETRY_AFTER_S,
            change_id=change_id,
        )
    if isinstance(error, change_errors.ChangeNotApplied):
        return ChangeRefusal(
            code=refusal.Code.platform_unavailable,
            message=f'this attempt had no effect: {error}; send it again',
            run_state=refusal.RunState.did_not_run,
            retry_after_s=RETRY_AFTER_S,
            change_id=change_id,
        )
    return ChangeRefusal(
        code=refusal.Code.bad_request,
        message=str(error),
        run_state=refusal.RunState.did_not_run,
        status=HTTPStatus.BAD_REQUEST,
        change_id=change_id,
    )
