"""Save and load the state of a claim log in chunks."""

import asyncio
import collections
import uuid

import msgspec

from oatcrank import decoding, errors
from oatcrank.claims import claim_holder, claim_snapshot_head, claim_state
from oatcrank.store import keyvalue

CLAIMS_PER_CHUNK = 2000
ATTEMPTS = 4

Holders = list[tuple[int, claim_state.StoredHolder]]


class ChunkItem(msgspec.Struct, frozen=True, array_like=True):
    """Encode one claim of a chunk."""

    digest: str
    holder: claim_holder.ClaimHolder


class ClaimSnapshots:
    """Store and load the newest snapshot of one log."""

    def __init__(self, store: keyvalue.KeyValue, prefix: str) -> None:
        """Store snapshots under the log's own prefix."""
        self._store = store
        self._prefix = prefix
        self._head_key = f'{prefix}/snapshot'

    async def load(self) -> claim_state.ClaimState:
        """Return the newest saved state, never an outdated one.

        Raises errors.PlatformError if it cannot be loaded.
        """
        for _ in range(ATTEMPTS):
            head = await self._newest_head()
            state = None if head is None else await self._load_state(head)
            if state is not None:
                return state
        raise errors.Unavailable(f'{self._prefix}: no snapshot could be read')

    async def save(self, state: claim_state.ClaimState) -> None:
        """Save the current state, unless a newer one is already saved.

        Raises errors.PlatformError if it cannot be saved.
        """
        # Copy first: records applied during the writes change the state.
        holders = state.holders()
        head = claim_snapshot_head.ClaimSnapshotHead(
            number=state.number,
            tick=state.tick,
            drop_before=state.drop_before,
            delete_to=state.first_needed_record(),
            marks=list(state.marks),
            snapshot_id=uuid.uuid4().hex,
            chunks=-(-len(holders) // CLAIMS_PER_CHUNK),
        )
        await self._put_chunks(head.snapshot_id, holders)
        for _ in range(ATTEMPTS):
            entry = await self._store.get(self._head_key)
            if entry is None or await self._put_head(head, entry):
                return

    async def _newest_head(
        self,
    ) -> claim_snapshot_head.ClaimSnapshotHead | None:
        entry = await self._store.get(self._head_key)
        head = claim_snapshot_head.ClaimSnapshotHead()
        if entry is not None:
            head = _decode_head(entry)
        try:
            # Reads may be stale; a conditional write proves this one is not.
            await self._store.put(
                self._head_key,
                msgspec.json.encode(head).decode(),
                expected=entry.revision if entry else keyvalue.ABSENT,
            )
        except (errors.Conflict, errors.UnknownOutcome):
            return None
        return head

    async def _load_state(
        self,
        head: claim_snapshot_head.ClaimSnapshotHead,
    ) -> claim_state.ClaimState | None:
        state = claim_state.ClaimState()
        state.number = head.number
        state.tick = head.tick
        state.drop_before = head.drop_before
        state.marks = collections.deque(head.marks)
        for key in self._chunk_keys(head.snapshot_id, head.chunks):
            chunk = await self._store.get(key)
            if chunk is None:
                return None
            state.restore(_decode_chunk(chunk.value))
        return state

    async def _put_chunks(self, snapshot_id: str, holders: Holders) -> None:
        starts = range(0, len(holders), CLAIMS_PER_CHUNK)
        keys = self._chunk_keys(snapshot_id, len(starts))
        for key, start in zip(keys, starts, strict=True):
            await self._store.put(
                key,
                _encode_chunk(holders[start : start + CLAIMS_PER_CHUNK]),
                expected=keyvalue.ABSENT,
            )

    async def _put_head(
        self,
        head: claim_snapshot_head.ClaimSnapshotHead,
        entry: keyvalue.Entry,
    ) -> bool:
        old = _decode_head(entry)
        if old.snapshot_id == head.snapshot_id:
            return True
        if old.number >= head.number:
            await self._delete_chunks(head.snapshot_id, head.chunks)
            return True
        await self._delete_obsolete(old)
        new = msgspec.structs.replace(
            head,
            delete_from=old.delete_to,
            delete_to=max(old.delete_to, head.delete_to),
            old_snapshot_id=old.snapshot_id,
            old_chunks=old.chunks,
        )
        try:
            await self._store.put(
                self._head_key,
                msgspec.json.encode(new).decode(),
                expected=entry.revision,
            )
        except errors.Conflict:
            return False
        return True

    async def _delete_obsolete(
        self,
        head: claim_snapshot_head.ClaimSnapshotHead,
    ) -> None:
        await self._delete_chunks(head.old_snapshot_id, head.old_chunks)
        for number in range(head.delete_from, head.delete_to):
            await self._store.delete(f'{self._prefix}/{number}')
            await asyncio.sleep(0)

    async def _delete_chunks(self, snapshot_id: str, chunks: int) -> None:
        for key in self._chunk_keys(snapshot_id, chunks):
            await self._store.delete(key)

    def _chunk_keys(self, snapshot_id: str, chunks: int) -> list[str]:
        return [
            f'{self._head_key}/{snapshot_id}/{index}' for index in range(chunks)
        ]


def _decode_head(
    entry: keyvalue.Entry,
) -> claim_snapshot_head.ClaimSnapshotHead:
    return decoding.from_json(
        entry.value,
        expected=claim_snapshot_head.ClaimSnapshotHead,
    )


def _encode_chunk(holders: Holders) -> str:
    chunk = [
        ChunkItem(
            f'{digest:032x}',
            claim_state.unpack_holder(stored)
            if isinstance(stored, int)
            else stored,
        )
        for digest, stored in holders
    ]
    return msgspec.json.encode(chunk).decode()


def _decode_chunk(text: str) -> Holders:
    chunk = decoding.from_json(text, expected=list[ChunkItem])
    return [
        (
            int(chunk_item.digest, claim_state.HEX_BASE),
            claim_state.to_stored(chunk_item.holder),
        )
        for chunk_item in chunk
    ]
