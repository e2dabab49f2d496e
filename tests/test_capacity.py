"""Check that the capacity page matches the measured slopes."""

import re

import pytest

from emulator import (
    slope,
    slope_fit,
    slope_page,
    slope_plots,
    slope_projections,
    slope_requirements,
    slopes,
)

NUMBER = r'([\d.e+]+)'
FORMULA = re.compile(
    rf'\({NUMBER} \+ {NUMBER} x {NUMBER}\)(?: x {NUMBER})?(?: / {NUMBER})?'
)
ROUNDING = 1e-2


def test_page_is_generated_from_the_figures() -> None:
    page = slopes.PAGE_FILE.read_text()
    assert slope_page.updated_page(page, slopes.read_results()) == page
    for name in ('requirements', 'projections', 'sizes', 'slopes', 'relay'):
        assert f'<!-- begin {name} -->' in page
    for file in slope_plots.NAMES_BY_FILE:
        assert f'(plots/{file}.png)' in page
        assert (slopes.PLOTS_DIRECTORY / f'{file}.png').exists()


def test_projections_are_calculated_correctly() -> None:
    results = slopes.read_results()
    page = slopes.PAGE_FILE.read_text()
    rows = [
        [cell.strip() for cell in line.split('|')[1:-1]]
        for line in page.splitlines()
        if FORMULA.search(line)
    ]
    assert len(rows) == len(slope_projections.ALL)
    for row in rows:
        title, name, formula = row[1:4]
        shown = row[4]
        match = FORMULA.fullmatch(formula)
        assert match, title
        terms = [float(term or 1) for term in match.groups()]
        line = results.slope(name)
        assert terms[:2] == [line.base, line.each], title
        figure = (terms[0] + terms[1] * terms[2]) * terms[3] / terms[4]
        assert float(shown.split()[0]) == pytest.approx(figure, rel=ROUNDING)


def test_requirements_add_up_and_are_compared() -> None:
    results = slopes.read_results()
    for requirement in slope_requirements.ALL:
        row = next(
            line.split(' | ')
            for line in slopes.PAGE_FILE.read_text().splitlines()
            if line.startswith(
                f'| {requirement.title} | {requirement.limit:g} '
            )
        )
        shown = float(row[2].split()[0])
        parts = [float(part.split()[0]) for part in row[5].split(' + ')]
        assert sum(parts) == pytest.approx(shown, rel=ROUNDING)
        assert (row[4] == 'yes') is (
            requirement.value(results) <= requirement.limit
        )


@pytest.mark.parametrize(
    ('medians', 'line'),
    [
        ({1: 12, 3: 16}, (10, 2)),
        ({1: 1, 10: 30}, (0, 3)),
        ({1: 9, 10: 8}, (9, 0)),
        ({4: 8}, (0, 2)),
    ],
)
def test_fit(medians: dict[int, float], line: tuple[float, float]) -> None:
    points = [slope.point(at, [median]) for at, median in medians.items()]
    fitted = slope_fit.fit('s', points, unit='B', per='one', command='c')
    assert (fitted.base, fitted.each) == pytest.approx(line)
