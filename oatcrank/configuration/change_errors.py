"""Define the errors of the configuration."""

from oatcrank import errors, ids
from oatcrank.configuration import profile_state


class ConfigurationError(errors.OatcrankError):
    """Base class for errors of the configuration."""


class InvalidChange(ConfigurationError):
    """Report a change that is invalid in the current configuration."""


class ChangeConflict(ConfigurationError):
    """Report that another change of the profile was accepted first."""

    def __init__(
        self,
        name: ids.ProfileName,
        current: profile_state.ProfileState,
    ) -> None:
        """Set the profile's current state."""
        state = 'retired' if current.content is None else 'changed'
        super().__init__(
            f'profile {name} was {state} by {current.who} at {current.when}; '
            + f'its revision is {current.revision}',
        )
        self.current = current


class ChangeNotApplied(ConfigurationError):
    """Report that this attempt at a change certainly had no effect."""


class ChangeOutcomeUnknown(ConfigurationError):
    """Report a change that may still be accepted; resend it with its id."""

    def __init__(self, change_id: ids.ChangeId, cause: str) -> None:
        """Set the id that a resend must carry."""
        super().__init__(
            f'the outcome of change {change_id} is unknown: {cause}'
        )
        self.change_id = change_id
