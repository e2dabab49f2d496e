"""Describe what is assumed of the platform's lagging instance list."""

import abc
import enum

import msgspec

from oatcrank import ids


class Kind(enum.Enum):
    """Say what a listed instance runs."""

    entry = 'entry'
    engine = 'engine'
    service = 'service'


class State(enum.Enum):
    """Say whether a listed instance is about to go."""

    live = 'live'
    leaving = 'leaving'


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """Describe one listed instance; address is `ip:port`."""

    instance_id: str
    kind: Kind
    address: str
    failure_domain: ids.FailureDomain
    state: State = State.live
    pool: ids.PoolName = ids.PoolName('')
    checks_fencing: bool = True


class InstanceList(abc.ABC):
    """Read the list of live and leaving instances."""

    @abc.abstractmethod
    async def read(self) -> tuple[Instance, ...]:
        """Return the listed instances; raises errors.Unavailable."""
