"""Write plain text tables."""

from collections.abc import Iterable


def text(heads: tuple[str, ...], rows: Iterable[tuple[object, ...]]) -> str:
    """Return rows below their heads, in aligned columns."""
    lines = [heads, *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [
        max(len(line[index]) for line in lines) for index in range(len(heads))
    ]
    return ''.join(_line(line, widths) for line in lines)


def _line(cells: tuple[str, ...], widths: list[int]) -> str:
    padded = [
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    ]
    return f'{"  ".join(padded).rstrip()}\n'
