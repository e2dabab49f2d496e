"""Hold what callers use, for placement to weigh."""

import msgspec

from oatcrank.orders import demand, runs


class Usage(msgspec.Struct, frozen=True):
    """Hold what is asked for, and what runs where."""

    asked: demand.Demand
    runs: runs.Runs
