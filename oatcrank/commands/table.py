"""Format plain text tables."""

from collections.abc import Iterable


def text(headings: tuple[str, ...], rows: Iterable[tuple[object, ...]]) -> str:
    """Return rows below their headings, in aligned columns."""
    lines = [headings, *(tuple(str(cell) for cell in row) for row in rows)]
    widths = [
        max(len(line[index]) for line in lines)
        for index in range(len(headings))
    ]
    return ''.join(_line(line, widths) for line in lines)


def _line(cells: tuple[str, ...], widths: list[int]) -> str:
    padded = [
        cell.ljust(width) for cell, width in zip(cells, widths, strict=True)
    ]
    return f'{"  ".join(padded).rstrip()}\n'
