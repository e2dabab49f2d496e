"""Run the claims of several entry instances in one event loop."""

import collections
from types import TracebackType

from emulator import (
    claims_instance,
    memory_key_value,
    memory_network,
    memory_rpc,
)
from oatcrank import clock
from oatcrank.claims import claim, claim_router
from oatcrank.settings import claims_settings

HEX_BASE = 16


class ClaimsFleet:
    """Fleet of instances that share a key-value service and a ledger."""

    def __init__(
        self,
        *,
        size: int,
        settings: claims_settings.ClaimsSettings,
        clock_source: clock.Clock | None = None,
        network: memory_network.MemoryNetwork | None = None,
    ) -> None:
        """Create connected instances; they use TCP without a network."""
        self.store = memory_key_value.MemoryKeyValue()
        self.ledger: collections.Counter[str] = collections.Counter()
        self.settings = settings
        self.instances = [
            claims_instance.ClaimsInstance(
                name=f'entry-{number}',
                store=self.store,
                settings=settings,
                clock=clock_source or clock.MonotonicClock(),
                ledger=self.ledger,
                client=memory_rpc.MemoryRpc(network) if network else None,
            )
            for number in range(size)
        ]
        all_members = tuple(instance.this for instance in self.instances)
        for instance in self.instances:
            instance.peers.alive_members = all_members
            if network is not None:
                network.add(instance)

    async def __aenter__(self) -> 'ClaimsFleet':
        """Return the fleet."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop every instance."""
        for instance in self.instances:
            await instance.stop()

    def owner(self, key: str) -> claims_instance.ClaimsInstance:
        """Return the owner of the key's shard if all instances are alive."""
        return self.ranked_owners(key)[0]

    def ranked_owners(self, key: str) -> list[claims_instance.ClaimsInstance]:
        """Return the instances by rendezvous weight for the key's shard."""
        digest = claim.digest_of(claims_instance.PROFILE, key)
        shard = int(digest, HEX_BASE) % self.settings.shards
        return sorted(
            self.instances,
            key=lambda instance: claim_router.rendezvous_weight(
                instance.this.instance_id,
                shard,
            ),
            reverse=True,
        )
