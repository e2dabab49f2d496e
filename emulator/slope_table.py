"""Write a table of a page."""

from collections.abc import Iterable, Sequence


def text(heads: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return the rows below their heads."""
    lines = [heads, ['---' for _ in heads], *rows]
    return '\n'.join(f'| {" | ".join(cells)} |' for cells in lines)
