"""Define the errors of the configuration."""

from oatcrank import errors, ids
from oatcrank.configuration import profile_state


class ConfigurationError(errors.OatcrankError):
    """Be the base of every error of the configuration."""


class InvalidChange(ConfigurationError):
    """Report a change that no state of the configuration would accept."""


class ChangeConflict(ConfigurationError):
    """Report that another change of the profile came first."""

    def __init__(
        self,
        name: ids.ProfileName,
        current: profile_state.ProfileState,
    ) -> None:
        """Keep the profile as it is now."""
        state = 'retired' if current.content is None else 'changed'
        super().__init__(
            f'profile {name} was {state} by {current.who} at {current.when}; '
            + f'its revision is {current.revision}',
        )
        self.current = current


class ChangeNotMade(ConfigurationError):
    """Report that this attempt at a change surely had no effect."""


class ChangeUnknown(ConfigurationError):
    """Report that a change may yet be accepted; resend it with its id."""

    def __init__(self, change_id: ids.ChangeId, cause: str) -> None:
        """Keep the id that a resend must carry."""
        super().__init__(f'outcome of change {change_id} unknown: {cause}')
        self.change_id = change_id
