"""Draw the plots of docs/CAPACITY.md."""

import pathlib

from emulator import slope
from emulator.replaying import plots

NAMES_BY_FILE = {
    'fleet': (
        ('daemon_core', 'controller_core'),
        ('daemon_memory',),
        ('daemon_bytes_in', 'daemon_bytes_out'),
    ),
    'key_value': (
        ('key_value_get', 'key_value_put', 'key_value_watch'),
        ('change_in_force',),
    ),
    'sizes': (
        (
            'placement_round_8_servers',
            'placement_round_100_servers',
            'placement_round_300_servers',
        ),
        ('demand_bytes', 'plan_bytes'),
        ('roster_read', 'list_take'),
    ),
}


def draw(results: slope.SlopeResults, directory: pathlib.Path) -> None:
    """Write a figure for each group of slopes; raises plots.PlotError."""
    for file, panels in NAMES_BY_FILE.items():
        plots.draw(
            directory / f'{file}.png',
            [_panel(results, names) for names in panels],
        )


def _panel(results: slope.SlopeResults, names: tuple[str, ...]) -> plots.Panel:
    slopes = [results.slope(name) for name in names]
    return plots.Panel(
        x_label=slopes[0].per,
        y_label=slopes[0].unit,
        lines=tuple(
            plots.Line(
                name=measured.name,
                x_values=tuple(point.size for point in measured.points),
                y_values=tuple(point.median for point in measured.points),
            )
            for measured in slopes
        ),
        show_markers=True,
    )
