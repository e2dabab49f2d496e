"""Describe a profile as its last change left it."""

import msgspec

from oatcrank import ids
from oatcrank.configuration import profile


class ProfileState(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a profile, None once retired; revision is its last change."""

    name: ids.ProfileName
    revision: ids.Revision
    who: str
    when: str
    content: profile.Profile | None
