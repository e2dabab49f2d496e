"""Forward offers to the instances that own their shards, in batches."""

import asyncio

from oatcrank import errors, rpc
from oatcrank.claims import claim, claim_holder, claim_holders, claim_offers

PATH = '/internal/claims'
FORWARD_TIMEOUT_S = 1.0
END_BATCH_DELAY_S = 0.05

HolderFuture = asyncio.Future[claim_holder.ClaimHolder | None]
Batch = list[tuple[claim.Offer, HolderFuture]]


class ClaimForwarder:
    """Send claims without delay; delay ends briefly to batch them."""

    def __init__(self, client: rpc.Rpc) -> None:
        """Call other instances through the client."""
        self._client = client
        self._batch_by_address: dict[str, Batch] = {}
        self._calls: set[asyncio.Task[None]] = set()

    async def send(
        self,
        address: str,
        offer: claim.Offer,
    ) -> claim_holder.ClaimHolder | None:
        """Return the holder of the offer's key as the instance reports it.

        Raises errors.PlatformError or rpc.RpcStatusError.
        """
        loop = asyncio.get_running_loop()
        holder_future: HolderFuture = loop.create_future()
        batch = self._batch_by_address.setdefault(address, [])
        batch.append((offer, holder_future))
        is_end = isinstance(offer, (claim.Released, claim.Ended))
        loop.call_later(
            END_BATCH_DELAY_S if is_end else 0, self._flush, address, batch
        )
        return await holder_future

    async def close(self) -> None:
        """Cancel all running calls."""
        for call in tuple(self._calls):
            call.cancel()
            await asyncio.wait([call])

    def _flush(self, address: str, batch: Batch) -> None:
        if self._batch_by_address.get(address) is not batch:
            return
        self._batch_by_address.pop(address)
        call = asyncio.create_task(self._call(address, batch))
        self._calls.add(call)
        call.add_done_callback(self._calls.discard)

    async def _call(self, address: str, batch: Batch) -> None:
        holders: list[claim_holder.ClaimHolder | None] = []
        error: Exception = errors.UnknownOutcome(
            'number of holders differs from number of offers'
        )
        try:
            holders = await self._post(address, batch)
        except (errors.PlatformError, rpc.RpcStatusError) as raised:
            error = raised
        finally:
            # Settle on every path, so that no waiter is left pending.
            _settle(batch, holders, error)

    async def _post(
        self,
        address: str,
        batch: Batch,
    ) -> list[claim_holder.ClaimHolder | None]:
        reply = await self._client.post(
            address,
            PATH,
            claim_offers.ClaimOffers(offers=[offer for offer, _ in batch]),
            claim_holders.ClaimHolders,
            timeout_s=FORWARD_TIMEOUT_S,
        )
        return reply.holders


def _settle(
    batch: Batch,
    holders: list[claim_holder.ClaimHolder | None],
    error: Exception,
) -> None:
    is_complete = len(holders) == len(batch)
    for index, (_, holder_future) in enumerate(batch):
        if holder_future.done():
            continue
        if is_complete:
            holder_future.set_result(holders[index])
        else:
            holder_future.set_exception(error)
