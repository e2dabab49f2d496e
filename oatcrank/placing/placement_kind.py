"""Name the placement policies that an operator can choose."""

import enum


class PlacementKind(enum.StrEnum):
    """Name a placement policy that needs no knowledge of a trace."""

    expected_gain = 'expected_gain'
    on_demand = 'on_demand'
