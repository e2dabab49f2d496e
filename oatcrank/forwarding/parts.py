"""Hold what every request's trip uses."""

import math
import random
import time

import msgspec

from oatcrank.forwarding import arranger, crash_watch, dialect, pacer
from oatcrank.routing import (
    choice,
    crash_record,
    retry_budgets,
    route_table,
    server_table,
)


class Parts(msgspec.Struct):
    """Hold the parts that requests share."""

    dialect: dialect.Dialect
    routes: route_table.RouteTable
    servers: server_table.ServerTable
    chooser: choice.Chooser
    retries: retry_budgets.RetryBudgets
    arranger: arranger.Arranger
    pacer: pacer.Pacer
    crashes: crash_record.CrashRecord
    crash_watch: crash_watch.CrashWatch
    dice: random.Random
    # When this instance stops at the latest, if it is leaving.
    stops_s: float = math.inf

    def now(self) -> float:
        """Return the time that timeouts are counted on, in seconds."""
        return time.monotonic()
