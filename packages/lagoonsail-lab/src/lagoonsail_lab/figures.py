"""Figures of the measurements and their targets."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field

AT_MOST = "at most"
"""The target is an inclusive upper limit."""
AT_LEAST = "at least"
"""The target is an inclusive lower limit."""
BELOW = "below"
"""The target is an exclusive upper limit."""


@dataclass(slots=True)
class Figure:
    """A measured figure and its target."""

    name: str
    """What was measured."""
    value: float
    """Measured value."""
    unit: str
    """Unit of the value."""
    relation: str = ""
    """AT_MOST, AT_LEAST, BELOW, or empty if there is no target."""
    target: float = 0.0
    """Target in the same unit."""

    @property
    def is_met(self) -> bool:
        """Whether the target is met.

        Example:
            >>> Figure("failed", 1, "calls", AT_MOST, 0).is_met
            False
            >>> Figure("busy", 0.97, "", AT_LEAST, 0.97).is_met
            True
        """
        if self.relation == AT_MOST:
            return self.value <= self.target
        if self.relation == AT_LEAST:
            return self.value >= self.target
        if self.relation == BELOW:
            return self.value < self.target
        return True

    def line(self) -> str:
        """Return the figure as one report line."""
        text = f"{self.name:<58}{self.value:>12.4g} {self.unit:<16}"
        if not self.relation:
            return text.rstrip()
        verdict = "met" if self.is_met else "MISSED"
        return f"{text}{self.relation} {self.target:.4g}: {verdict}"


@dataclass(slots=True)
class Series:
    """Points of a plotted curve."""

    title: str
    """What the curve shows."""
    x: list[float]
    """X coordinates."""
    y: list[float]
    """Y coordinates."""


@dataclass(slots=True)
class Measure:
    """The result of one measurement."""

    name: str
    """Name of the measurement."""
    x_label: str = ""
    """Label of the x axis."""
    y_label: str = ""
    """Label of the y axis."""
    figures: list[Figure] = field(default_factory=list)
    """Measured figures."""
    curves: list[Series] = field(default_factory=list)
    """Plotted curves."""

    def add(
        self,
        name: str,
        value: float,
        unit: str,
        relation: str = "",
        target: float = 0.0,
    ) -> None:
        """Add a figure and print it."""
        figure = Figure(name, value, unit, relation, target)
        self.figures.append(figure)
        print(f"  {figure.line()}", flush=True)

    def as_dict(self) -> dict:
        """Return the measurement as a JSON-serialisable dictionary."""
        figures = [{**asdict(f), "met": f.is_met} for f in self.figures]
        return {**asdict(self), "figures": figures}
