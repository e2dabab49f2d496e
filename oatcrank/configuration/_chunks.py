"""Store texts that exceed the value size of the key-value service."""

import contextlib

from oatcrank import errors
from oatcrank.store import keyvalue

CHUNK_CHARACTERS = 200_000


def split(text: str) -> list[str]:
    """Split a text into chunks that each fit one value."""
    starts = range(0, max(1, len(text)), CHUNK_CHARACTERS)
    return [text[start : start + CHUNK_CHARACTERS] for start in starts]


async def create(
    store: keyvalue.KeyValue,
    prefix: str,
    chunks: list[str],
) -> None:
    """Create the keys `<prefix>/<i>`.

    Chunk 0 is written last, so the text is whole once chunk 0 exists.
    """
    for index, chunk in reversed(list(enumerate(chunks))):
        # All writers of this prefix write the same text.
        with contextlib.suppress(errors.Conflict):
            await store.put(
                f'{prefix}/{index}',
                f'{len(chunks)} {chunk}',
                expected=keyvalue.ABSENT,
            )


async def read(store: keyvalue.KeyValue, prefix: str) -> str | None:
    """Return a whole text, or None if it is absent or incomplete."""
    chunks: list[str] = []
    chunk_count = 1
    while len(chunks) < chunk_count:
        entry = await store.get(f'{prefix}/{len(chunks)}')
        if entry is None:
            return None
        count_text, _, chunk = entry.value.partition(' ')
        chunk_count = int(count_text)
        chunks.append(chunk)
    return ''.join(chunks)
