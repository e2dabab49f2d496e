"""Define the interface of the platform's instance list, which may lag."""

import abc
import enum

import msgspec

from oatcrank import ids


class Kind(enum.Enum):
    """Kind of program that a listed instance runs."""

    entry = 'entry'
    engine = 'engine'
    service = 'service'


class State(enum.Enum):
    """Whether a listed instance is about to stop."""

    live = 'live'
    leaving = 'leaving'


class Instance(msgspec.Struct, frozen=True, kw_only=True):
    """Entry of the instance list; address is `ip:port`."""

    instance_id: str
    kind: Kind
    address: str
    failure_domain: ids.FailureDomain
    state: State = State.live
    pool: ids.PoolName = ids.PoolName('')
    checks_fencing: bool = True


class InstanceList(abc.ABC):
    """Interface for reading the list of live and leaving instances."""

    @abc.abstractmethod
    async def read(self) -> tuple[Instance, ...]:
        """Return the listed instances; raises errors.Unavailable."""
