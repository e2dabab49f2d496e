"""Draw figures; needs the optional extra `plots`."""

import pathlib
from collections.abc import Sequence
from typing import Any

import msgspec

from oatcrank import errors

WIDTH_IN = 9
PANEL_HEIGHT_IN = 2.4
MARKED = 'o-'


class PlotError(errors.OatcrankError):
    """Report that a figure could not be drawn."""


class Line(msgspec.Struct, frozen=True, kw_only=True):
    """Hold a named line's points."""

    name: str
    across: tuple[float, ...]
    up: tuple[float, ...]


class Panel(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the lines of one of a figure's panels."""

    across: str
    up: str
    lines: tuple[Line, ...]
    marked: bool = False


def draw(path: pathlib.Path, panels: Sequence[Panel]) -> None:
    """Draw panels one below the other; raises PlotError."""
    figure_type = _figure_type()
    height_in = PANEL_HEIGHT_IN * len(panels)
    figure = figure_type(figsize=(WIDTH_IN, height_in), layout='constrained')
    axes = figure.subplots(len(panels), squeeze=False)
    for panel, (axis,) in zip(panels, axes, strict=True):
        for line in panel.lines:
            shape = MARKED if panel.marked else '-'
            axis.plot(line.across, line.up, shape, label=line.name)
        axis.set_xlabel(panel.across)
        axis.set_ylabel(panel.up)
        axis.legend(fontsize='small')
    try:
        figure.savefig(path)
    except (OSError, ValueError) as error:
        raise PlotError(f'{path}: {error}') from error


def _figure_type() -> Any:
    try:
        from matplotlib import figure  # type: ignore[import-not-found]
    except ImportError as error:
        raise PlotError(
            'plots need matplotlib: install oatcrank[plots]',
        ) from error
    return figure.Figure
