"""Define the dependencies of all pools' controllers."""

import dataclasses

from oatcrank import clock, metrics
from oatcrank.configuration import profile_book
from oatcrank.control import control_peers, demand_board, leadership
from oatcrank.engines import backend_servers
from oatcrank.membership import members
from oatcrank.settings import settings
from oatcrank.store import keyvalue, weight_store


@dataclasses.dataclass(frozen=True, kw_only=True)
class PoolControlParts:
    """Hold the dependencies of all pools' controllers of one process."""

    settings: settings.Settings
    clock: clock.Clock
    store: keyvalue.KeyValue
    weights: weight_store.WeightStore
    lease: leadership.Leadership
    servers: backend_servers.BackendServers
    peers: members.Members
    asking: control_peers.ControlPeers
    board: demand_board.DemandBoard
    book: profile_book.ProfileBook
    metrics: metrics.Metrics
    publish: control_peers.Publish
    new_policy: control_peers.NewPolicy
