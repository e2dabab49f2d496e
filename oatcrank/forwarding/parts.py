"""Define the dependencies of request execution."""

import math
import random
import time

import msgspec

from oatcrank.forwarding import arranger, crash_watch, pacer, wire_protocol
from oatcrank.routing import (
    crash_record,
    retry_budgets,
    route_table,
    server_selection,
    server_table,
)


class Parts(msgspec.Struct):
    """Dependencies that all requests share."""

    wire_protocol: wire_protocol.WireProtocol
    routes: route_table.RouteTable
    servers: server_table.ServerTable
    chooser: server_selection.ServerSelector
    retries: retry_budgets.RetryBudgets
    arranger: arranger.Arranger
    pacer: pacer.Pacer
    crashes: crash_record.CrashRecord
    crash_watch: crash_watch.CrashWatch
    dice: random.Random
    # Monotonic time by which this instance stops, if it is shutting down.
    stops_s: float = math.inf

    def now(self) -> float:
        """Return the monotonic time in seconds, as used for timeouts."""
        return time.monotonic()
