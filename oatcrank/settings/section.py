"""Define the base class of settings sections."""

import msgspec


class Section(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base class for settings sections, which reject unknown fields."""
