"""Define the state of a profile after its last change."""

import msgspec

from oatcrank import ids
from oatcrank.configuration import profile


class ProfileState(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a profile's content, None once retired, and its last change."""

    name: ids.ProfileName
    revision: ids.Revision
    who: str
    when: str
    content: profile.Profile | None
