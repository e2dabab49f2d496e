"""Draw figures with matplotlib, the optional extra `plots`."""

import pathlib
from collections.abc import Sequence
from typing import Any

import msgspec

from oatcrank import errors

WIDTH_IN = 9
PANEL_HEIGHT_IN = 2.4
MARKED_STYLE = 'o-'


class PlotError(errors.OatcrankError):
    """Raised when a figure could not be drawn."""


class Line(msgspec.Struct, frozen=True, kw_only=True):
    """A named line and its points."""

    name: str
    x_values: tuple[float, ...]
    y_values: tuple[float, ...]


class Panel(msgspec.Struct, frozen=True, kw_only=True):
    """A panel of a figure; show_markers marks every point."""

    x_label: str
    y_label: str
    lines: tuple[Line, ...]
    show_markers: bool = False


def draw(path: pathlib.Path, panels: Sequence[Panel]) -> None:
    """Draw panels below each other into a file; raises PlotError."""
    figure_type = _figure_type()
    height_in = PANEL_HEIGHT_IN * len(panels)
    figure = figure_type(figsize=(WIDTH_IN, height_in), layout='constrained')
    axes = figure.subplots(len(panels), squeeze=False)
    for panel, (axis,) in zip(panels, axes, strict=True):
        for line in panel.lines:
            style = MARKED_STYLE if panel.show_markers else '-'
            axis.plot(line.x_values, line.y_values, style, label=line.name)
        axis.set_xlabel(panel.x_label)
        axis.set_ylabel(panel.y_label)
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
