"""Route each offer to the instance that owns its shard."""

import msgspec
import xxhash

from oatcrank import clock, decoding, errors, ids, logs, refusal, rpc
from oatcrank.claims import (
    claim,
    claim_forwarder,
    claim_holder,
    claim_shard,
    claim_shard_count,
)
from oatcrank.membership import member, members
from oatcrank.settings import claims_settings
from oatcrank.store import keyvalue

MAX_FORWARDS = 2
AVOID_DURATION_S = 2.0
HEX_BASE = 16


class ClaimRouter:
    """Submit offers to the shard's owner, or locally if the owner fails.

    Ownership only decides where entries are batched.  It needs no agreement:
    if two instances both act as owner, the shard's log orders their writes.
    """

    def __init__(
        self,
        *,
        store: keyvalue.KeyValue,
        members: members.Members,
        client: rpc.Rpc,
        settings: claims_settings.ClaimsSettings,
        clock: clock.Clock,
    ) -> None:
        """Start without shards; each is loaded on first use."""
        self._store = store
        self._members = members
        self._forwarder = claim_forwarder.ClaimForwarder(client)
        self._settings = settings
        self._clock = clock
        self._shard_count = claim_shard_count.ClaimShardCount(
            store,
            settings.shards,
        )
        self._shard_by_number: dict[int, claim_shard.ClaimShard] = {}
        self._avoided_until_by_id: dict[ids.InstanceId, float] = {}

    async def submit(
        self,
        offer: claim.Offer,
    ) -> claim_holder.ClaimHolder | None:
        """Return the holder of the key once the offer is in the log.

        Raises errors.PlatformError if the holder cannot be determined.
        """
        shard = await self.shard_number(offer.digest)
        for owner in self._candidates(shard)[:MAX_FORWARDS]:
            if owner.instance_id == self._members.own.instance_id:
                break
            try:
                return await self._forwarder.send(owner.address, offer)
            except (errors.UnknownOutcome, errors.Unavailable) as error:
                self._avoid(owner, error)
            except rpc.RpcStatusError as error:
                _raise_if_platform_unavailable(error)
                self._avoid(owner, error)
        return await self.submit_here(offer)

    async def submit_here(
        self,
        offer: claim.Offer,
    ) -> claim_holder.ClaimHolder | None:
        """Commit the offer on this instance; raises as submit does."""
        shard = await self.shard_number(offer.digest)
        # Shards used here once may be owned by other instances by now.
        for loaded in self._shard_by_number.values():
            loaded.discard_if_idle()
        return await self._shard(shard).submit(offer)

    async def shard_number(self, digest: str) -> int:
        """Return the shard of a key, or raise errors.PlatformError."""
        return int(digest, HEX_BASE) % await self._shard_count.agreed()

    def prefix(self, shard: int) -> str:
        """Return the key prefix of the shard's log."""
        return f'claims/{shard}'

    async def close(self) -> None:
        """Cancel calls and close all shards."""
        await self._forwarder.close()
        for shard in self._shard_by_number.values():
            await shard.close()

    def _shard(self, number: int) -> claim_shard.ClaimShard:
        shard = self._shard_by_number.get(number)
        if shard is None:
            shard = claim_shard.ClaimShard(
                store=self._store,
                prefix=self.prefix(number),
                settings=self._settings,
                clock=self._clock,
            )
            self._shard_by_number[number] = shard
        return shard

    def _candidates(self, shard: int) -> list[member.Member]:
        now = self._clock.now()
        usable = [
            peer
            for peer in self._members.alive()
            if not peer.leaving
            and self._avoided_until_by_id.get(peer.instance_id, now) <= now
        ]
        return sorted(
            usable,
            key=lambda peer: rendezvous_weight(peer.instance_id, shard),
            reverse=True,
        )

    def _avoid(self, owner: member.Member, error: Exception) -> None:
        until = self._clock.now() + AVOID_DURATION_S
        self._avoided_until_by_id[owner.instance_id] = until
        logs.event(
            'claim_owner_avoided',
            owner=owner.instance_id,
            error=str(error),
        )


def rendezvous_weight(instance_id: ids.InstanceId, shard: int) -> int:
    """Return the rendezvous weight of an instance for a shard."""
    return xxhash.xxh3_64_intdigest(f'{instance_id}/{shard}'.encode())


def _raise_if_platform_unavailable(error: rpc.RpcStatusError) -> None:
    try:
        refused = decoding.from_json(error.body, expected=refusal.Refusal)
    except msgspec.MsgspecError:
        return
    if refused.code is refusal.Code.platform_unavailable:
        raise errors.Unavailable(refused.message) from error
