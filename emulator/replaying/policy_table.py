"""Format the figures of policies as a table."""

from collections.abc import Sequence

import msgspec

from emulator.replaying import policy_score

HEADER = (
    'trace',
    'policy',
    'attained',
    'accel.',
    'per accel.',
    'moves',
    'loads',
    'first p95',
    'refused',
    'starved',
)


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of a policy on a trace."""

    site: str
    trace: str
    policy: str
    figures: policy_score.Summary


class Total(msgspec.Struct, frozen=True, kw_only=True):
    """Totals of a policy over all traces of a site."""

    site: str
    policy: str
    per_accelerator: float
    moves: int
    attainment: float
    starved: int


def totals(rows: Sequence[Row]) -> list[Total]:
    """Return the totals of each site and policy."""
    rows_by_key: dict[tuple[str, str], list[Row]] = {}
    for row in rows:
        rows_by_key.setdefault((row.site, row.policy), []).append(row)
    return [
        _total(site, policy, [policy_row.figures for policy_row in policy_rows])
        for (site, policy), policy_rows in rows_by_key.items()
    ]


def _total(
    site: str,
    policy: str,
    summaries: Sequence[policy_score.Summary],
) -> Total:
    requests = sum(figures.requests for figures in summaries)
    return Total(
        site=site,
        policy=policy,
        per_accelerator=sum(figures.per_accelerator for figures in summaries),
        moves=sum(figures.moves for figures in summaries),
        attainment=sum(figures.met for figures in summaries) / max(1, requests),
        starved=sum(len(figures.starved) for figures in summaries),
    )


def format_lines(rows: Sequence[Row]) -> list[str]:
    """Return the lines of the table, then those of the totals."""
    table = [HEADER, *map(_cells, rows)]
    return [*_align(table), '', *_align(_total_cells(totals(rows)))]


def _cells(row: Row) -> tuple[str, ...]:
    figures = row.figures
    cells = [
        row.trace,
        row.policy,
        f'{figures.attainment:.3f}',
        f'{figures.accelerators:.2f}',
        f'{figures.per_accelerator:.0f}',
        str(figures.moves),
        str(figures.moves_by_kind.get('load', 0)),
        f'{figures.first_token_ms["p95"]:.0f} ms',
        str(sum(figures.refusals_by_code.values())),
        ' '.join(figures.starved) or '-',
    ]
    return tuple(cells)


def _total_cells(site_totals: Sequence[Total]) -> list[tuple[str, ...]]:
    total_by_key = {(total.site, total.policy): total for total in site_totals}
    names = ('static', 'on_demand', 'informed')
    header = ('site', 'policy', 'attained', 'per accel.', 'moves', 'starved')
    cells = [(*header, *(f'x {name}' for name in names), 'moves x on_demand')]
    for total in site_totals:
        others = [total_by_key.get((total.site, name)) for name in names]
        cells.append(
            (
                total.site,
                total.policy,
                f'{total.attainment:.3f}',
                f'{total.per_accelerator:.0f}',
                str(total.moves),
                str(total.starved),
                *(
                    _ratio(total.per_accelerator, other.per_accelerator)
                    if other
                    else '-'
                    for other in others
                ),
                _ratio(total.moves, others[1].moves) if others[1] else '-',
            ),
        )
    return cells


def _ratio(part: float, whole: float) -> str:
    return f'{part / whole:.2f}' if whole else '-'


def _align(cells: Sequence[tuple[str, ...]]) -> list[str]:
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
