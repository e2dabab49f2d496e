"""Define a snapshot of the whole configuration after a change."""

import msgspec

from oatcrank.configuration import profile_state


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Hold every profile's state, retired ones too, ordered by name."""

    number: int = 0
    profiles: tuple[profile_state.ProfileState, ...] = ()
