"""Read the settings file that the platform writes."""

import msgspec

from oatcrank import errors, ids
from oatcrank.cluster import cluster_bounds, member, quota_owner
from oatcrank.orders import store_load_limit
from oatcrank.transport import process_budget

SETTINGS_VARIABLE = 'OATCRANK_CONFIG'


class Listen(msgspec.Struct, frozen=True, kw_only=True):
    """Addresses to listen on, as `ip:port`."""

    front: str
    ready: str
    control: str
    directory: str


class Bounds(msgspec.Struct, frozen=True, kw_only=True):
    """Limits that the platform sets."""

    grace_s: float
    retry_budget_ratio: float
    budget_window_s: float
    retry_budget_slack: float
    lease_ttl_ms: float
    # Loads from the weight store: loads_per_s x window x overage, and 3 more.
    ceiling_window_s: float = store_load_limit.Ceiling().window_s
    ceiling_overage: float = store_load_limit.Ceiling().overage
    ttl_max_s: float
    # By how much quotas of organisations may be exceeded.
    quota_overage: float = 0
    quota_slack: float = 0


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """Memory and descriptors of a process."""

    memory_mb: float = process_budget.Limits().memory_mb
    max_fds: int = process_budget.Limits().descriptors


class Store(msgspec.Struct, frozen=True, kw_only=True):
    """Address of the platform's store."""

    address: str


class Settings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings of a process; unknown fields are ignored."""

    node_name: str
    ip: str
    zone: str
    region: str
    # First and last port that is reserved for traffic between instances.
    internal_ports: tuple[int, int]
    listen: Listen
    bounds: Bounds
    platform: Store
    limits: Limits = Limits()

    def member(self, started_ms: int) -> member.Member:
        """Return this process as a member of the cluster."""
        return member.Member(
            instance_id=ids.InstanceId(self.node_name),
            started_ms=started_ms,
            failure_domain=ids.FailureDomain(self.zone),
            region=self.region,
            caller_address=self.listen.front,
            peer_address=self.listen.control,
            ready=False,
            datagram_address=f'{self.ip}:{self.internal_ports[0]}',
        )

    def process_limits(self) -> process_budget.Limits:
        """Return the memory and the descriptors of this process."""
        return process_budget.Limits(
            memory_mb=self.limits.memory_mb, descriptors=self.limits.max_fds
        )

    def shared_bounds(self) -> cluster_bounds.Bounds:
        """Return the limits that all instances share."""
        return cluster_bounds.Bounds(
            retry_ratio=self.bounds.retry_budget_ratio,
            retry_allowance=self.bounds.retry_budget_slack,
            retry_window_s=self.bounds.budget_window_s,
            order_lease_duration_s=self.bounds.lease_ttl_ms / 1000,
            load_ceiling=store_load_limit.Ceiling(
                window_s=self.bounds.ceiling_window_s,
                overage=self.bounds.ceiling_overage,
            ),
            stop_timeout_s=self.bounds.grace_s,
            quota_tolerance=quota_owner.QuotaTolerance(
                overage=self.bounds.quota_overage,
                slack=self.bounds.quota_slack,
            ),
        )


def read(path: str) -> Settings:
    """Return the settings or raise errors.SettingsError."""
    try:
        with open(path, 'rb') as source:
            return msgspec.toml.decode(source.read(), type=Settings)
    except (OSError, msgspec.MsgspecError) as error:
        raise errors.SettingsError(f'{path}: {error}') from error
