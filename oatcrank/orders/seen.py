"""Hold what is seen of callers' requests, for placement to weigh."""

import msgspec

from oatcrank.orders import demand, runs


class Seen(msgspec.Struct, frozen=True):
    """Hold what is asked for, and what runs where."""

    asked: demand.Demand
    runs: runs.Runs
