"""Plots the curves of measurements."""

from __future__ import annotations

from typing import TYPE_CHECKING

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402

if TYPE_CHECKING:
    from pathlib import Path

    from lagoonsail_lab.figures import Measure

WIDTH_INCHES = 9.0
"""Width of the plot."""
HEIGHT_INCHES = 3.2
"""Height of the diagram of one measurement."""


def plot_measures(measures: list[Measure], path: Path) -> None:
    """Plot one diagram per measurement.

    Args:
        measures: Measurements to plot.
        path: Image file to write.
    """
    size = (WIDTH_INCHES, HEIGHT_INCHES * len(measures))
    figure, rows = pyplot.subplots(len(measures), 1, figsize=size, squeeze=False)
    for (axes,), measure in zip(rows, measures, strict=True):
        for curve in measure.curves:
            axes.plot(curve.x, curve.y, label=curve.title)
        axes.set_title(measure.name)
        axes.set_xlabel(measure.x_label)
        axes.set_ylabel(measure.y_label, fontsize="small")
        axes.legend(fontsize="small")
        axes.grid(alpha=0.3)
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)
