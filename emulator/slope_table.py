"""Format a Markdown table."""

from collections.abc import Iterable, Sequence


def text(titles: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a table with these column titles and rows."""
    lines = [titles, ['---' for _ in titles], *rows]
    return '\n'.join(f'| {" | ".join(cells)} |' for cells in lines)
