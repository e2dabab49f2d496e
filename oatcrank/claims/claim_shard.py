"""Commit the offers of one shard in batches, one write at a time."""

import asyncio

from oatcrank import clock, errors, logs
from oatcrank.claims import claim, claim_holder, claim_log
from oatcrank.settings import claims_settings
from oatcrank.store import keyvalue

MAX_BATCH_BYTES = 400_000
ENTRY_OVERHEAD_BYTES = 400
BASE64_FACTOR = 4 / 3
CACHE_TTL_S = 60.0
IDLE_TIMEOUT_S = 600.0
MS_PER_S = 1000

HolderFuture = asyncio.Future[claim_holder.ClaimHolder | None]
Batch = list[tuple[claim.Offer, HolderFuture]]


class ClaimShard:
    """Commit offers: immediately when idle, in spaced batches under load."""

    def __init__(
        self,
        *,
        store: keyvalue.KeyValue,
        prefix: str,
        settings: claims_settings.ClaimsSettings,
        clock: clock.Clock,
    ) -> None:
        """Set up the shard; the log is read on the first offer."""
        self._log = claim_log.ClaimLog(
            store=store,
            prefix=prefix,
            settings=settings,
            clock=clock,
        )
        self._prefix = prefix
        self._spacing_s = settings.batch_spacing_ms / MS_PER_S
        self._clock = clock
        self._used_at = clock.now()
        self._pending: Batch = []
        self._write_task: asyncio.Task[None] | None = None

    def discard_if_idle(self) -> None:
        """Free the shard's state after a long time without use."""
        writing = self._write_task is not None and not self._write_task.done()
        if writing or self._pending or self._log.is_saving:
            return
        if self._clock.now() - self._used_at > IDLE_TIMEOUT_S:
            self._log.discard_state()

    async def submit(
        self,
        offer: claim.Offer,
    ) -> claim_holder.ClaimHolder | None:
        """Return the holder of the key once the offer is in the log.

        Raises errors.PlatformError if the holder cannot be determined.
        """
        self._used_at = self._clock.now()
        cached = self._cached_holder(offer)
        if cached is not None:
            return cached
        holder_future: HolderFuture = asyncio.get_running_loop().create_future()
        self._pending.append((offer, holder_future))
        if self._write_task is None or self._write_task.done():
            self._write_task = asyncio.create_task(self._write())
        return await holder_future

    async def close(self) -> None:
        """Stop writing; pending offers fail with errors.Unavailable."""
        if self._write_task is not None:
            self._write_task.cancel()
            await asyncio.wait([self._write_task])
        _fail(self._pending, errors.Unavailable('the claim shard is closed'))
        await self._log.close()

    def _cached_holder(
        self, offer: claim.Offer
    ) -> claim_holder.ClaimHolder | None:
        """Return the cached holder that a claim would conflict with.

        The holder may have been withdrawn since; its claimant then reports
        that, and the claim is submitted again with replaces set.
        """
        if not isinstance(offer, claim.Claim):
            return None
        holder = self._log.state.holder(offer.digest)
        if (
            holder is None
            or self._clock.now() - self._log.refreshed_at > CACHE_TTL_S
        ):
            return None
        replaces = offer.replaces
        if holder.is_attempt(offer.attempt) or holder.is_attempt(replaces):
            return None
        return holder

    async def _write(self) -> None:
        while self._pending:
            started = self._clock.now()
            batch = self._next_batch()
            try:
                await self._commit([offer for offer, _ in batch])
            except errors.PlatformError as error:
                logs.event(
                    'claim_commit_failed', log=self._prefix, error=str(error)
                )
                _fail(batch, error)
            except BaseException:
                _fail(batch, errors.UnknownOutcome('the log writer stopped'))
                raise
            self._resolve(batch)
            elapsed_s = self._clock.now() - started
            await asyncio.sleep(max(0, self._spacing_s - elapsed_s))

    async def _commit(self, offers: list[claim.Offer]) -> None:
        entries = [
            offer for offer in offers if not isinstance(offer, claim.LookUp)
        ]
        if entries:
            await self._log.commit(entries)
            self._log.save_if_due()
        else:
            await self._log.refresh()

    def _next_batch(self) -> Batch:
        count = 0
        size = 0
        for offer, _ in self._pending:
            size += _encoded_size(offer)
            if count and size > MAX_BATCH_BYTES:
                break
            count += 1
        batch = self._pending[:count]
        self._pending = self._pending[count:]
        return batch

    def _resolve(self, batch: Batch) -> None:
        for offer, holder_future in batch:
            if not holder_future.done():
                holder_future.set_result(self._log.state.holder(offer.digest))


def _encoded_size(offer: claim.Offer) -> int:
    if isinstance(offer, claim.Ended) and offer.answer is not None:
        return ENTRY_OVERHEAD_BYTES + int(
            len(offer.answer.body) * BASE64_FACTOR
        )
    return ENTRY_OVERHEAD_BYTES


def _fail(batch: Batch, error: errors.PlatformError) -> None:
    for _, holder_future in batch:
        if not holder_future.done():
            holder_future.set_exception(error)
