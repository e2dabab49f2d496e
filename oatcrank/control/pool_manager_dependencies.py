"""Define the dependencies of all pools' controllers."""

import dataclasses
from collections.abc import Callable

from oatcrank import clock, metrics
from oatcrank.configuration import profile_index
from oatcrank.control import control_peers, demand_totals, leadership, plan
from oatcrank.engines import backend_servers
from oatcrank.membership import members
from oatcrank.placing import placement
from oatcrank.settings import settings
from oatcrank.store import keyvalue, weight_store


@dataclasses.dataclass(frozen=True, kw_only=True)
class PoolManagerDependencies:
    """Hold the dependencies of all pools' controllers of one process."""

    settings: settings.Settings
    clock: clock.Clock
    store: keyvalue.KeyValue
    weight_store: weight_store.WeightStore
    lease: leadership.Leadership
    servers: backend_servers.BackendServers
    members: members.Members
    control_peers: control_peers.ControlPeers
    demand_totals: demand_totals.DemandTotals
    profile_index: profile_index.ProfileIndex
    metrics: metrics.Metrics
    publish: Callable[[plan.Plan], None]
    new_policy: Callable[[], placement.PlacementPolicy]
