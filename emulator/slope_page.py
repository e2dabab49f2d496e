"""Generate the tables of docs/CAPACITY.md."""

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


def line(measured: slope.Slope) -> str:
    """Return a slope as a line of text."""
    return (
        f'{measured.name}: {measured.base:g} + {measured.each:g} '
        f'{measured.unit} per {measured.per}; {_points(measured)}'
    )


def renewed(page: str, book: slope.SlopeBook) -> str:
    """Return the page with its generated tables updated."""
    text_by_name = {
        'requirements': _requirements(book),
        'projections': _projections(book),
        'sizes': _sizes(),
        'slopes': _slopes(book),
        'relay': _relay(book),
    }
    for name, text in text_by_name.items():
        page = _replace_table(page, name, text)
    return page


def _replace_table(page: str, name: str, text: str) -> str:
    begin, end = f'<!-- begin {name} -->', f'<!-- end {name} -->'
    before, _, rest = page.partition(begin)
    after = rest.partition(end)[2]
    return f'{before}{begin}\n{text}\n{end}{after}'


def _requirements(book: slope.SlopeBook) -> str:
    return slope_table.text(
        ('requirement', 'limit', 'projected', 'margin', 'holds', 'made of'),
        (
            _requirement_row(requirement, book)
            for requirement in slope_requirements.ALL
        ),
    )


def _requirement_row(
    requirement: slope_requirement.Requirement,
    book: slope.SlopeBook,
) -> list[str]:
    figure = requirement.figure(book)
    holds = '**no**' if figure > requirement.limit else 'yes'
    return [
        requirement.title,
        f'{requirement.limit:g} {requirement.unit}',
        f'{figure:.3g} {requirement.unit}',
        f'{requirement.limit / figure:.2g}-fold',
        holds,
        requirement.made_of(book),
    ]


def _projections(book: slope.SlopeBook) -> str:
    return slope_table.text(
        ('role', 'what', 'slope', '(base + each x size) x rate', 'figure'),
        (
            (
                projection.role,
                projection.what,
                projection.slope_name,
                projection.reckoning(book),
                f'{projection.figure(book):.3g} {projection.unit}',
            )
            for projection in slope_projections.ALL
        ),
    )


def _slopes(book: slope.SlopeBook) -> str:
    return slope_table.text(
        ('slope', 'base + each', 'size: median (least-most)', 'command'),
        (
            (
                measured.name,
                f'{measured.base:g} + {measured.each:g} {measured.unit} '
                f'per {measured.per}',
                _points(measured),
                f'`{measured.command}`',
            )
            for measured in book.slopes
        ),
    )


def _sizes() -> str:
    sizes = [*slope_sizes.Sizes, *slope_sizes.Rates]
    return slope_table.text(
        ('size or rate', 'count'),
        ((size.value.title, f'{size.value.count:g}') for size in sizes),
    )


def _relay(book: slope.SlopeBook) -> str:
    if book.relay is None:
        return NOT_MEASURED
    return relay_row.table(book.relay)


def _points(measured: slope.Slope) -> str:
    return ', '.join(
        f'{point.at:g}: {point.median:g} ({point.low:g}-{point.high:g})'
        for point in measured.points
    )
