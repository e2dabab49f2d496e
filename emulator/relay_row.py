"""Row of the relay benchmark."""

from collections.abc import Iterable

import msgspec

HEADER = (
    '| streams | tokens/s | first token | token rate | CPU us/token | core |\n'
    '| --- | --- | --- | --- | --- | --- |'
)


class RelayRow(msgspec.Struct, frozen=True, kw_only=True):
    """Comparison of streams through an entry instance with direct streams.

    first_ratio compares the median times to the first token, and rate_ratio
    the median token rates, relayed / direct; core_share is the share of one
    core that the entry process used.
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
    """Return the rows as a Markdown table."""
    lines = [
        f'| {row.streams} | {row.tokens_per_s:.0f} | x{row.first_ratio:.2f} '
        f'| x{row.rate_ratio:.2f} | {row.cpu_us_per_token:.0f} '
        f'| {row.core_share:.2f} |'
        for row in rows
    ]
    return '\n'.join([HEADER, *lines])
