"""Share what every section of the settings has in common."""

import msgspec


class Section(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Be the base of every section: unknown fields are faults."""
