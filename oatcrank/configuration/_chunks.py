"""Keep texts longer than one value of the key-value service."""

import contextlib

from oatcrank import errors
from oatcrank.store import keyvalue

CHUNK_CHARACTERS = 200_000


def split(text: str) -> list[str]:
    """Return a text in pieces that each fit one value."""
    starts = range(0, max(1, len(text)), CHUNK_CHARACTERS)
    return [text[start : start + CHUNK_CHARACTERS] for start in starts]


async def create(
    store: keyvalue.KeyValue,
    prefix: str,
    pieces: list[str],
) -> None:
    """Create `<prefix>/<i>` from the last, so the first completes the text."""
    for index, piece in reversed(list(enumerate(pieces))):
        # Everyone who writes below this prefix writes the same text.
        with contextlib.suppress(errors.Conflict):
            await store.put(
                f'{prefix}/{index}',
                f'{len(pieces)} {piece}',
                expected=keyvalue.ABSENT,
            )


async def read(store: keyvalue.KeyValue, prefix: str) -> str | None:
    """Return a whole text, or None if it is not (yet) there."""
    pieces: list[str] = []
    count = 1
    while len(pieces) < count:
        entry = await store.get(f'{prefix}/{len(pieces)}')
        if entry is None:
            return None
        head, _, piece = entry.value.partition(' ')
        count = int(head)
        pieces.append(piece)
    return ''.join(pieces)
