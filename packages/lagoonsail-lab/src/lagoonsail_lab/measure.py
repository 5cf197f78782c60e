"""Four measurements with targets: `python -m lagoonsail_lab.measure`."""

from __future__ import annotations

import json
import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Literal

import defopt

from lagoonsail_core.clock import Clock
from lagoonsail_lab.control_traffic import measure_control
from lagoonsail_lab.domain_outage import measure_domains
from lagoonsail_lab.fairness import measure_fairness
from lagoonsail_lab.measure_plot import plot_measures
from lagoonsail_lab.utilisation import measure_utilisation

if TYPE_CHECKING:
    from lagoonsail_lab.figures import Measure

MEASURES = {
    "fairness": (measure_fairness, 30.0),
    "utilisation": (measure_utilisation, 15.0),
    "control": (measure_control, 8.0),
    "domains": (measure_domains, 30.0),
}
"""Function and default duration of the main part in seconds, by measurement."""


def write_report(measures: list[Measure], seed: int, out: Path) -> None:
    """Write the completed measurements as JSON and as a plot.

    Args:
        measures: Completed measurements.
        seed: Seed of the calls.
        out: Output directory; created if it does not exist.
    """
    out.mkdir(parents=True, exist_ok=True)
    report = {"seed": seed, "measures": [measure.as_dict() for measure in measures]}
    (out / "measure.json").write_text(json.dumps(report, indent=1))
    plot_measures(measures, out / "measure.png")


def main(
    *,
    only: Literal["fairness", "utilisation", "control", "domains", ""] = "",
    seed: int = 1,
    duration_s: float = 0.0,
    out: Path = Path("out"),
) -> int:
    """Compare the fleet with a baseline; write the results as JSON and a plot.

    Args:
        only: The only measurement to run; all if empty.
        seed: Seed of the calls.
        duration_s: Duration of the main part of each measurement, seconds; 0 for the
            default.
        out: Directory of measure.json and measure.png.

    Returns:
        0 if all targets are met.
    """
    clock = Clock()
    measures = []
    for name, (measure, default_s) in MEASURES.items():
        if only and name != only:
            continue
        loads = ", ".join(f"{load:.1f}" for load in os.getloadavg())
        print(f"{name} (seed {seed}, load average before: {loads})", flush=True)
        start_ms = clock.now_ms()
        measures.append(measure(duration_s or default_s, seed))
        print(f"  took {(clock.now_ms() - start_ms) / 1000.0:.0f} s", flush=True)
        write_report(measures, seed, out)
    missed = [f for m in measures for f in m.figures if not f.is_met]
    for figure in missed:
        print(f"missed: {figure.line()}")
    print(f"wrote {out / 'measure.json'} and {out / 'measure.png'}")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(defopt.run(main))
