"""Define the messages by which instances pass on changes of the store."""

import zlib

import msgspec

from oatcrank import errors, ids
from oatcrank.cluster import store

MESSAGE_NAME = 'changes'
# Higher levels cost more time than they save.
COMPRESSION_LEVEL = 1


class ChangesQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Ask for the changes after a revision, or wait for one up to wait_s."""

    after: ids.Revision
    wait_s: float


class ChangesReply(msgspec.Struct, frozen=True, kw_only=True):
    """What an instance knows of the store.

    complete: packed_items hold all changes after the revision that was asked
        for, up to revision.
    age_s: time since the store has confirmed that this was all.
    """

    complete: bool
    revision: ids.Revision = ids.Revision(0)
    packed_items: bytes = b''
    age_s: float = 0


def pack(items: tuple[store.Item, ...]) -> bytes:
    """Return items in a compact encoding; most of them resemble each other."""
    return zlib.compress(msgspec.msgpack.encode(items), COMPRESSION_LEVEL)


def unpack(packed: bytes) -> tuple[store.Item, ...]:
    """Return the items of an encoding, or raise errors.Unavailable."""
    if not packed:
        return ()
    try:
        return msgspec.msgpack.decode(
            zlib.decompress(packed), type=tuple[store.Item, ...]
        )
    except (zlib.error, msgspec.MsgspecError) as error:
        raise errors.Unavailable(f'unreadable changes: {error}') from error
