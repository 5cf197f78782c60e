"""Figures of the measures and their targets."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field

AT_MOST = "at most"
"""The target is an upper limit."""
AT_LEAST = "at least"
"""The target is a lower limit."""
BELOW = "below"
"""The target must not be reached."""


@dataclass(slots=True)
class Figure:
    """One measured figure beside its target."""

    name: str
    """What was measured."""
    value: float
    """The value."""
    unit: str
    """Its unit."""
    relation: str = ""
    """AT_MOST, AT_LEAST, BELOW, or empty if there is no target."""
    target: float = 0.0
    """The target in the same unit."""

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
        """Return the figure as one line of a report."""
        shown = f"{self.name:<58}{self.value:>12.4g} {self.unit:<16}"
        if not self.relation:
            return shown.rstrip()
        verdict = "met" if self.is_met else "MISSED"
        return f"{shown}{self.relation} {self.target:.4g}: {verdict}"


@dataclass(slots=True)
class Series:
    """Points of a curve for the plot."""

    title: str
    """What the curve shows."""
    x: list[float]
    """Abscissas."""
    y: list[float]
    """Ordinates."""


@dataclass(slots=True)
class Measure:
    """The outcome of one measure."""

    name: str
    """Name of the measure."""
    x_label: str = ""
    """What the abscissas of its curves are."""
    y_label: str = ""
    """What the ordinates of its curves are."""
    figures: list[Figure] = field(default_factory=list)
    """Its figures."""
    curves: list[Series] = field(default_factory=list)
    """Its curves."""

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
        """Return the measure for JSON."""
        figures = [{**asdict(f), "met": f.is_met} for f in self.figures]
        return {**asdict(self), "figures": figures}
