"""Registration of a backend server."""

import msgspec

from oatcrank import ids
from oatcrank.routing import server_process


class Registration(msgspec.Struct, frozen=True, kw_only=True):
    """What a server has registered; orders_taken counts accepted orders."""

    server_id: ids.ServerId
    started_ms: int
    service: ids.ServiceName
    host: str
    port: int
    failure_domain: ids.FailureDomain
    slots: int
    leaving: bool
    software_version: ids.SoftwareVersion = ids.SoftwareVersion('')
    orders_taken: int = 0
    adapters_by_model: dict[ids.ModelName, tuple[ids.AdapterName, ...]] = (
        msgspec.field(default_factory=dict)
    )
    cached_in_memory: tuple[ids.ModelName, ...] = ()
    cached_on_disk: tuple[ids.ModelName, ...] = ()

    @property
    def process(self) -> server_process.ServerProcess:
        """Return the process that has registered."""
        return server_process.ServerProcess(self.server_id, self.started_ms)

    @property
    def registered_process(self) -> server_process.RegisteredProcess:
        """Return the process with its address, as is_same_process compares."""
        return server_process.RegisteredProcess(
            self.process, f'{self.host}:{self.port}'
        )

    def is_same_process(self, other: 'Registration') -> bool:
        """Return whether both registrations come from the same process."""
        return (self.server_id, self.started_ms, self.host, self.port) == (
            other.server_id,
            other.started_ms,
            other.host,
            other.port,
        )
