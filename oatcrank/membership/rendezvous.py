"""Rank names by rendezvous hashing, so that a change moves few keys."""

from collections.abc import Iterable

import xxhash


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Return the names by descending weight for the key."""
    return sorted(
        names,
        key=lambda name: (
            xxhash.xxh3_64_intdigest(f'{key}/{name}'.encode()),
            name,
        ),
        reverse=True,
    )
