"""Hold one row of the relay benchmark."""

from collections.abc import Iterable

import msgspec

HEADER = (
    '| streams | tokens/s | first token | token rate | CPU us/token | core |\n'
    '| --- | --- | --- | --- | --- | --- |'
)


class RelayRow(msgspec.Struct, frozen=True, kw_only=True):
    """Compare streams through an entry instance with straight ones.

    first_ratio and rate_ratio are through / straight, of medians; core_share is
    the entry process's part of one core.
    """

    streams: int
    tokens: int
    cut: int
    first_ratio: float
    rate_ratio: float
    cpu_us_per_token: float
    core_share: float
    tokens_per_s: float


def table(rows: Iterable[RelayRow]) -> str:
    """Return the rows as a table."""
    lines = [
        f'| {row.streams} | {row.tokens_per_s:.0f} | x{row.first_ratio:.2f} '
        f'| x{row.rate_ratio:.2f} | {row.cpu_us_per_token:.0f} '
        f'| {row.core_share:.2f} |'
        for row in rows
    ]
    return '\n'.join([HEADER, *lines])
