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


def format_slope(measured: slope.Slope) -> str:
    """Return a slope as a line of text."""
    return (
        f'{measured.name}: {measured.base:g} + {measured.each:g} '
        f'{measured.unit} per {measured.per}; {_format_points(measured)}'
    )


def updated_page(page: str, results: slope.SlopeResults) -> str:
    """Return the page with its generated tables updated."""
    text_by_name = {
        'requirements': _requirements(results),
        'projections': _projections(results),
        'sizes': _sizes(),
        'slopes': _slopes(results),
        'relay': _relay(results),
    }
    for name, text in text_by_name.items():
        page = _replace_table(page, name, text)
    return page


def _replace_table(page: str, name: str, text: str) -> str:
    begin, end = f'<!-- begin {name} -->', f'<!-- end {name} -->'
    before, _, rest = page.partition(begin)
    after = rest.partition(end)[2]
    return f'{before}{begin}\n{text}\n{end}{after}'


def _requirements(results: slope.SlopeResults) -> str:
    return slope_table.text(
        ('requirement', 'limit', 'projected', 'margin', 'met', 'sum of'),
        (
            _requirement_row(requirement, results)
            for requirement in slope_requirements.ALL
        ),
    )


def _requirement_row(
    requirement: slope_requirement.Requirement,
    results: slope.SlopeResults,
) -> list[str]:
    value = requirement.value(results)
    met = '**no**' if value > requirement.limit else 'yes'
    return [
        requirement.title,
        f'{requirement.limit:g} {requirement.unit}',
        f'{value:.3g} {requirement.unit}',
        f'{requirement.limit / value:.2g}-fold',
        met,
        requirement.breakdown(results),
    ]


def _projections(results: slope.SlopeResults) -> str:
    return slope_table.text(
        ('role', 'quantity', 'slope', '(base + each x size) x rate', 'figure'),
        (
            (
                projection.role,
                projection.title,
                projection.slope_name,
                projection.formula(results),
                f'{projection.value(results):.3g} {projection.unit}',
            )
            for projection in slope_projections.ALL
        ),
    )


def _slopes(results: slope.SlopeResults) -> str:
    return slope_table.text(
        ('slope', 'base + each', 'size: median (min-max)', 'command'),
        (
            (
                measured.name,
                f'{measured.base:g} + {measured.each:g} {measured.unit} '
                f'per {measured.per}',
                _format_points(measured),
                f'`{measured.command}`',
            )
            for measured in results.slopes
        ),
    )


def _sizes() -> str:
    sizes = [*slope_sizes.Sizes, *slope_sizes.Rates]
    return slope_table.text(
        ('size or rate', 'count'),
        ((size.value.title, f'{size.value.count:g}') for size in sizes),
    )


def _relay(results: slope.SlopeResults) -> str:
    if results.relay is None:
        return NOT_MEASURED
    return relay_row.table(results.relay)


def _format_points(measured: slope.Slope) -> str:
    return ', '.join(
        f'{point.size:g}: {point.median:g} ({point.low:g}-{point.high:g})'
        for point in measured.points
    )
