"""Hold what callers use, for placement to weigh."""

import msgspec

from oatcrank.orders import demand, runs


class Usage(msgspec.Struct, frozen=True):
    """Hold what is asked for, and what runs where."""

    demand: demand.DemandWindow
    runs: runs.Runs
