"""Lay out the figures of policies as a table."""

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
    """Hold one policy's figures on one trace."""

    site: str
    trace: str
    policy: str
    figures: policy_score.Summary


class Total(msgspec.Struct, frozen=True, kw_only=True):
    """Hold one policy's sums over all traces of a site."""

    site: str
    policy: str
    per_accelerator: float
    moves: int
    attainment: float
    starved: int


def totals(rows: Sequence[Row]) -> list[Total]:
    """Add up each site's policies."""
    rows_by_key: dict[tuple[str, str], list[Row]] = {}
    for row in rows:
        rows_by_key.setdefault((row.site, row.policy), []).append(row)
    return [
        _total(site, policy, [entry.figures for entry in alike])
        for (site, policy), alike in rows_by_key.items()
    ]


def _total(
    site: str,
    policy: str,
    alike: Sequence[policy_score.Summary],
) -> Total:
    requests = sum(figures.requests for figures in alike)
    return Total(
        site=site,
        policy=policy,
        per_accelerator=sum(figures.per_accelerator for figures in alike),
        moves=sum(figures.moves for figures in alike),
        attainment=sum(figures.met for figures in alike) / max(1, requests),
        starved=sum(len(figures.starved) for figures in alike),
    )


def lines(rows: Sequence[Row]) -> list[str]:
    """Return the table's lines, then those of the totals."""
    body = [HEADER, *map(_cells, rows)]
    return [*_aligned(body), '', *_aligned(_total_cells(totals(rows)))]


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


def _total_cells(sums: Sequence[Total]) -> list[tuple[str, ...]]:
    by_key = {(total.site, total.policy): total for total in sums}
    names = ('static', 'on_demand', 'informed')
    header = ('site', 'policy', 'attained', 'per accel.', 'moves', 'starved')
    cells = [(*header, *(f'x {name}' for name in names), 'moves x on_demand')]
    for total in sums:
        others = [by_key.get((total.site, name)) for name in names]
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


def _aligned(cells: Sequence[tuple[str, ...]]) -> list[str]:
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]
