"""Write the generated tables of docs/CAPACITY.md."""

from emulator import slope


def line(found: slope.Slope) -> str:
    """Return a slope as a line of text."""
    seen = ', '.join(
        f'{one.at:g}: {one.median:g} ({one.low:g}-{one.high:g})'
        for one in found.points
    )
    return (
        f'{found.name}: {found.base:g} + {found.each:g} {found.unit} per '
        f'{found.per}; {seen}'
    )


def renewed(page: str, book: slope.SlopeBook) -> str:
    """Return the page with its generated tables made anew."""
    return page
