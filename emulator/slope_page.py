"""Write the generated tables of docs/CAPACITY.md."""

from emulator import (
    relay_row,
    slope,
    slope_projections,
    slope_requirement,
    slope_requirements,
    slope_sizes,
    slope_table,
)

NOT_MEASURED = 'not measured: docs/relay.json is absent'


def line(found: slope.Slope) -> str:
    """Return a slope as a line of text."""
    return (
        f'{found.name}: {found.base:g} + {found.each:g} {found.unit} per '
        f'{found.per}; {_points(found)}'
    )


def renewed(page: str, book: slope.SlopeBook) -> str:
    """Return the page with its generated tables made anew."""
    text_by_name = {
        'requirements': _requirements(book),
        'projections': _projections(book),
        'sizes': _sizes(),
        'slopes': _slopes(book),
        'relay': _relay(book),
    }
    for name, text in text_by_name.items():
        page = _replaced(page, name, text)
    return page


def _replaced(page: str, name: str, text: str) -> str:
    begin, end = f'<!-- begin {name} -->', f'<!-- end {name} -->'
    before, _, rest = page.partition(begin)
    after = rest.partition(end)[2]
    return f'{before}{begin}\n{text}\n{end}{after}'


def _requirements(book: slope.SlopeBook) -> str:
    return slope_table.text(
        ('requirement', 'limit', 'projected', 'margin', 'holds', 'made of'),
        (_judged(one, book) for one in slope_requirements.ALL),
    )


def _judged(
    one: slope_requirement.Requirement,
    book: slope.SlopeBook,
) -> list[str]:
    figure = one.figure(book)
    holds = '**no**' if figure > one.limit else 'yes'
    return [
        one.title,
        f'{one.limit:g} {one.unit}',
        f'{figure:.3g} {one.unit}',
        f'{one.limit / figure:.2g}-fold',
        holds,
        one.made_of(book),
    ]


def _projections(book: slope.SlopeBook) -> str:
    return slope_table.text(
        ('role', 'what', 'slope', '(base + each x size) x rate', 'figure'),
        (
            (
                one.role,
                one.what,
                one.slope_name,
                one.reckoning(book),
                f'{one.figure(book):.3g} {one.unit}',
            )
            for one in slope_projections.ALL
        ),
    )


def _slopes(book: slope.SlopeBook) -> str:
    return slope_table.text(
        ('slope', 'base + each', 'size: median (least-most)', 'command'),
        (
            (
                one.name,
                f'{one.base:g} + {one.each:g} {one.unit} per {one.per}',
                _points(one),
                f'`{one.command}`',
            )
            for one in book.slopes
        ),
    )


def _sizes() -> str:
    listed = [*slope_sizes.Sizes, *slope_sizes.Rates]
    return slope_table.text(
        ('size or rate', 'count'),
        ((one.value.title, f'{one.value.count:g}') for one in listed),
    )


def _relay(book: slope.SlopeBook) -> str:
    if book.relay is None:
        return NOT_MEASURED
    return relay_row.table(book.relay)


def _points(found: slope.Slope) -> str:
    return ', '.join(
        f'{one.at:g}: {one.median:g} ({one.low:g}-{one.high:g})'
        for one in found.points
    )
