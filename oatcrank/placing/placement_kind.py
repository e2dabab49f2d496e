"""Placement policies that an operator can select."""

import enum


class PlacementKind(enum.StrEnum):
    """A placement policy that needs no knowledge of a trace."""

    expected_gain = 'expected_gain'
    on_demand = 'on_demand'
