"""Metrics in Prometheus's text format, with bounded labels."""

from __future__ import annotations

import re
from functools import partial
from typing import TYPE_CHECKING

import aioprometheus
from aioprometheus.collectors import Counter as CounterCollector
from aioprometheus.collectors import Gauge as GaugeCollector
from aioprometheus.collectors import Histogram as HistogramCollector
from aioprometheus.histogram import Histogram as HistogramValues

from lagoonsail_core.durations import BOUNDS_MS
from lagoonsail_core.errors import LagoonsailError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from aioprometheus.collectors import Collector

    from lagoonsail_core.durations import Durations

PREFIX = "lagoonsail_"
"""Begins the name of each metric."""

MAX_LABEL_SETS = 200
"""Combinations of label values that one metric accepts; more are counted only."""

MAX_LABEL_LENGTH = 120
"""Characters of a label value that are kept."""

OVERFLOW_NAME = "lagoonsail_label_overflow_total"
"""Counts refused samples by metric."""

_NAME_PATTERN = re.compile(r"[a-z]([a-z0-9_]*[a-z0-9])?")


class MetricError(LagoonsailError):
    """A metric that is declared or used in a wrong way."""


def _clean(value: object) -> str:
    # The formatter writes label values as they are, so a quote or a line break in an
    # account's name would add lines of its own.
    text = str(value)[:MAX_LABEL_LENGTH].encode("utf-8", "replace").decode()
    text = text.replace("\\", r"\\").replace('"', r"\"")
    return text.replace("\n", r"\n").replace("\r", r"\r")


def _full_name(name: str, unit: str) -> str:
    for part in (name, unit):
        if not _NAME_PATTERN.fullmatch(part):
            raise MetricError(
                f"malformed name or unit {part!r} of a metric",
                "use lower case letters, digits and underscores",
            )
    return f"{PREFIX}{name}_{unit}"


class _LabelGuard:
    """Decides which combinations of label values a metric keeps."""

    __slots__ = ("_known", "_labels", "_name", "_overflow")

    def __init__(
        self, name: str, labels: Sequence[str], overflow: dict[str, int]
    ) -> None:
        self._name = name
        self._labels = tuple(labels)
        self._overflow = overflow
        self._known: dict[tuple, dict[str, str]] = {}

    def find(self, values: tuple) -> dict[str, str] | None:
        """Return the labels to use, or nothing if there are too many.

        Args:
            values: Label values in the order of declaration.

        Returns:
            The same dictionary for each use of the same values.

        Raises:
            MetricError: If there are more or fewer values than labels.
        """
        labels = self._known.get(values)
        if labels is not None:
            return labels
        if len(values) != len(self._labels):
            raise MetricError(
                f"{self._name} used with {len(values)} label values",
                f"give values for {', '.join(self._labels) or 'no label'}",
            )
        if len(self._known) >= MAX_LABEL_SETS:
            self._overflow[self._name] = self._overflow.get(self._name, 0) + 1
            return None
        labels = dict(zip(self._labels, map(_clean, values), strict=True))
        self._known[values] = labels
        return labels


class Counter:
    """A number that only grows."""

    __slots__ = ("_collector", "_guard")

    def __init__(self, collector: CounterCollector, guard: _LabelGuard) -> None:
        self._collector = collector
        self._guard = guard

    def add(self, amount: float, *label_values: object) -> None:
        """Add to the counter.

        Args:
            amount: Not negative.
            *label_values: Values in the order in which the labels were declared.

        Raises:
            MetricError: If the amount is negative or label values are missing.
        """
        if amount < 0:
            raise MetricError(
                f"{self._collector.name} counted down", "use a gauge instead"
            )
        labels = self._guard.find(label_values)
        if labels is not None:
            self._collector.add(labels, amount)


class Gauge:
    """A number that goes up and down."""

    __slots__ = ("_collector", "_guard")

    def __init__(self, collector: GaugeCollector, guard: _LabelGuard) -> None:
        self._collector = collector
        self._guard = guard

    def set(self, value: float, *label_values: object) -> None:
        """Set the gauge.

        Args:
            value: The value, in the gauge's unit.
            *label_values: Values in the order in which the labels were declared.

        Raises:
            MetricError: If label values are missing.
        """
        labels = self._guard.find(label_values)
        if labels is not None:
            self._collector.set(labels, value)


class Histogram:
    """Observations counted by size."""

    __slots__ = ("_collector", "_guard")

    def __init__(self, collector: HistogramCollector, guard: _LabelGuard) -> None:
        self._collector = collector
        self._guard = guard

    def observe(self, value: float, *label_values: object) -> None:
        """Count one observation.

        Args:
            value: The observation, in the histogram's unit.
            *label_values: Values in the order in which the labels were declared.

        Raises:
            MetricError: If label values are missing.
        """
        labels = self._guard.find(label_values)
        if labels is not None:
            self._collector.observe(labels, float(value))


class Metrics:
    """The metrics of one process; rendering needs no event loop.

    Example:
        >>> metrics = Metrics()
        >>> metrics.counter("answers", "Answers sent.", labels=["code"]).add(2, 200)
        >>> b'lagoonsail_answers_total{code="200"} 2' in metrics.render()
        True
    """

    __slots__ = ("_overflow", "_overflow_collector", "_readers", "_registry")

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._overflow: dict[str, int] = {}
        self._readers: list[Callable[[], None]] = []
        self._overflow_collector = CounterCollector(
            OVERFLOW_NAME,
            "Samples refused because a metric has too many label values.",
            registry=self._registry,
        )

    def counter(
        self, name: str, doc: str, unit: str = "", labels: Sequence[str] = ()
    ) -> Counter:
        """Declare a counter.

        Args:
            name: What is counted, without prefix and unit.
            doc: One sentence.
            unit: Unit of the amounts; empty for plain numbers of things.
            labels: Names of the labels.

        Returns:
            The counter; ``_total`` is appended to its name.

        Raises:
            MetricError: If the name is malformed or in use.
        """
        full_name = _full_name(name, f"{unit}_total" if unit else "total")
        return Counter(*self._declare(CounterCollector, full_name, doc, labels))

    def gauge(
        self, name: str, doc: str, unit: str, labels: Sequence[str] = ()
    ) -> Gauge:
        """Declare a gauge.

        Args:
            name: What is measured, without prefix and unit.
            doc: One sentence.
            unit: Unit, or the plural of what is counted.
            labels: Names of the labels.

        Returns:
            The gauge.

        Raises:
            MetricError: If the name is malformed or in use.
        """
        full_name = _full_name(name, unit)
        return Gauge(*self._declare(GaugeCollector, full_name, doc, labels))

    def histogram(
        self,
        name: str,
        doc: str,
        unit: str,
        labels: Sequence[str] = (),
        bounds: Sequence[float] = BOUNDS_MS,
    ) -> Histogram:
        """Declare a histogram.

        Args:
            name: What is observed, without prefix and unit.
            doc: One sentence.
            unit: Unit of the observations.
            labels: Names of the labels.
            bounds: Upper bounds of the buckets, rising, in the unit.

        Returns:
            The histogram.

        Raises:
            MetricError: If the name is malformed or in use.
        """
        full_name = _full_name(name, unit)
        collector, guard = self._declare(HistogramCollector, full_name, doc, labels)
        collector.upper_bounds = tuple(bounds)
        return Histogram(collector, guard)

    def histogram_of(self, name: str, doc: str, durations: Durations) -> None:
        """Declare a histogram whose values are read when the metrics are rendered.

        Args:
            name: What takes the time, without prefix and unit.
            doc: One sentence.
            durations: Counts the durations; costs far less than `Histogram.observe`.

        Raises:
            MetricError: If the name is malformed or in use.
        """
        full_name = _full_name(name, "ms")
        collector, _ = self._declare(HistogramCollector, full_name, doc, [])

        def update() -> None:
            values = HistogramValues(*BOUNDS_MS)
            for bound, count in zip(BOUNDS_MS, durations.cumulative(), strict=True):
                values.buckets[bound] = count
            values.buckets[float("inf")] = durations.count
            values.observations = durations.count
            values.sum = durations.sum_ms
            collector.set_value({}, values)

        self._readers.append(update)

    def counter_of(
        self, name: str, doc: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Declare a counter whose values are read when the metrics are rendered.

        Args:
            name: What is counted, without prefix.
            doc: One sentence.
            label: Name of the label that shows the mapping's keys.
            read: Returns counts by key, for example a `collections.Counter`.

        Raises:
            MetricError: If the name is malformed or in use.
        """
        full_name = _full_name(name, "total")
        collector, guard = self._declare(CounterCollector, full_name, doc, [label])

        def update() -> None:
            for key, value in list(read().items()):
                labels = guard.find((key,))
                if labels is not None:
                    collector.set(labels, value)

        self._readers.append(update)

    def declare_all(
        self,
        counters: Mapping[str, str],
        read: Callable[[str], Mapping[str, float]],
        histograms: Mapping[str, str],
        durations: Mapping[str, Durations],
    ) -> None:
        """Declare counters by kind, and histograms of durations.

        Args:
            counters: What each counter counts, by its name with ``_total``.
            read: Returns the counts of a counter by kind, given that name.
            histograms: What takes the time, by name without prefix and unit.
            durations: Counts the durations, by the same names.

        Raises:
            MetricError: If a name is malformed or in use.
        """
        for name, doc in counters.items():
            short = name.removesuffix("_total")
            self.counter_of(short, doc, "kind", partial(read, name))
        for name, doc in histograms.items():
            self.histogram_of(name, doc, durations[name])

    def render(self) -> bytes:
        """Return all metrics in Prometheus's text format."""
        for update in self._readers:
            update()
        for name, refused in self._overflow.items():
            self._overflow_collector.set({"metric": name}, refused)
        content, _ = aioprometheus.render(self._registry, ["text/plain"])
        return content

    def _declare(
        self,
        kind: type[Collector],
        full_name: str,
        doc: str,
        labels: Sequence[str],
    ) -> tuple[Collector, _LabelGuard]:
        if full_name in self._registry.collectors:
            raise MetricError(f"{full_name} is declared twice", "choose another name")
        collector = kind(full_name, " ".join(doc.split()), registry=self._registry)
        return collector, _LabelGuard(full_name, labels, self._overflow)
