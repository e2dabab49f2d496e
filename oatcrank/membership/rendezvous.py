"""Pick by highest random weight, so that few picks move on a change."""

from collections.abc import Iterable

import xxhash


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Return the names, first choice for the key first."""
    return sorted(
        names,
        key=lambda name: (
            xxhash.xxh3_64_intdigest(f'{key}/{name}'.encode()),
            name,
        ),
        reverse=True,
    )
