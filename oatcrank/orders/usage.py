"""Usage of models and adapters, as input to placement."""

import msgspec

from oatcrank.orders import demand, runs


class Usage(msgspec.Struct, frozen=True):
    """Recent demand and running requests."""

    demand: demand.DemandWindow
    runs: runs.Runs
