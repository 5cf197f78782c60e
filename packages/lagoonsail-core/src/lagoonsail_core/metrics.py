"""Metrics in Prometheus's text format, with a limited number of label sets."""

from __future__ import annotations

import re
from functools import partial
from typing import TYPE_CHECKING

import aioprometheus
from aioprometheus.collectors import Counter as CounterCollector
from aioprometheus.collectors import Gauge as GaugeCollector
from aioprometheus.collectors import Histogram as HistogramCollector
from aioprometheus.histogram import Histogram as HistogramValues

from lagoonsail_core.durations import BUCKET_BOUNDS_MS
from lagoonsail_core.errors import LagoonsailError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from aioprometheus.collectors import Collector

    from lagoonsail_core.durations import DurationHistogram

PREFIX = "lagoonsail_"
"""Prefix of every metric name."""

MAX_LABEL_SETS = 200
"""Label sets per metric; samples of further ones are dropped and counted."""

MAX_LABEL_LENGTH = 120
"""Length in characters at which a label value is truncated."""

OVERFLOW_NAME = "lagoonsail_label_overflow_total"
"""Counter of dropped samples by metric."""

_NAME_PATTERN = re.compile(r"[a-z]([a-z0-9_]*[a-z0-9])?")


class MetricError(LagoonsailError):
    """A metric is declared or used incorrectly."""


def _escape_label_value(value: object) -> str:
    # aioprometheus does not escape label values, so a quote or line break in an account
    # name could add samples to the output.
    text = str(value)[:MAX_LABEL_LENGTH].encode("utf-8", "replace").decode()
    text = text.replace("\\", r"\\").replace('"', r"\"")
    return text.replace("\n", r"\n").replace("\r", r"\r")


def _full_name(name: str, unit: str) -> str:
    for part in (name, unit):
        if not _NAME_PATTERN.fullmatch(part):
            raise MetricError(
                f"metric name or unit {part!r} is malformed",
                "use lower case letters, digits and underscores",
            )
    return f"{PREFIX}{name}_{unit}"


class _LabelSets:
    """The label sets of one metric, limited to MAX_LABEL_SETS."""

    __slots__ = ("_dropped_samples", "_label_names", "_labels_by_values", "_name")

    def __init__(
        self, name: str, label_names: Sequence[str], dropped_samples: dict[str, int]
    ) -> None:
        self._name = name
        self._label_names = tuple(label_names)
        self._dropped_samples = dropped_samples
        self._labels_by_values: dict[tuple, dict[str, str]] = {}

    def find(self, values: tuple) -> dict[str, str] | None:
        """Return the label set of some values, or None if there are too many sets.

        Args:
            values: Label values in the order of declaration.

        Returns:
            Value by label, the same dictionary for each use of the same values.

        Raises:
            MetricError: If there are more or fewer values than labels.
        """
        labels = self._labels_by_values.get(values)
        if labels is not None:
            return labels
        if len(values) != len(self._label_names):
            raise MetricError(
                f"{self._name} used with {len(values)} label values",
                f"give values for {', '.join(self._label_names) or 'no label'}",
            )
        if len(self._labels_by_values) >= MAX_LABEL_SETS:
            self._dropped_samples[self._name] = (
                self._dropped_samples.get(self._name, 0) + 1
            )
            return None
        labels = dict(
            zip(self._label_names, map(_escape_label_value, values), strict=True)
        )
        self._labels_by_values[values] = labels
        return labels


class Counter:
    """A value that only increases."""

    __slots__ = ("_collector", "_label_sets")

    def __init__(self, collector: CounterCollector, label_sets: _LabelSets) -> None:
        self._collector = collector
        self._label_sets = label_sets

    def add(self, amount: float, *label_values: object) -> None:
        """Add to the counter.

        Args:
            amount: Amount to add, not negative.
            *label_values: Values in the order in which the labels were declared.

        Raises:
            MetricError: If the amount is negative, or the number of label values is
                wrong.
        """
        if amount < 0:
            raise MetricError(
                f"counter {self._collector.name} got a negative amount",
                "use a gauge for a value that decreases",
            )
        labels = self._label_sets.find(label_values)
        if labels is not None:
            self._collector.add(labels, amount)


class Gauge:
    """A value that increases and decreases."""

    __slots__ = ("_collector", "_label_sets")

    def __init__(self, collector: GaugeCollector, label_sets: _LabelSets) -> None:
        self._collector = collector
        self._label_sets = label_sets

    def set(self, value: float, *label_values: object) -> None:
        """Set the gauge.

        Args:
            value: New value, in the gauge's unit.
            *label_values: Values in the order in which the labels were declared.

        Raises:
            MetricError: If the number of label values is wrong.
        """
        labels = self._label_sets.find(label_values)
        if labels is not None:
            self._collector.set(labels, value)


class Histogram:
    """Observations counted in buckets."""

    __slots__ = ("_collector", "_label_sets")

    def __init__(self, collector: HistogramCollector, label_sets: _LabelSets) -> None:
        self._collector = collector
        self._label_sets = label_sets

    def observe(self, value: float, *label_values: object) -> None:
        """Add an observation.

        Args:
            value: Observed value, in the histogram's unit.
            *label_values: Values in the order in which the labels were declared.

        Raises:
            MetricError: If the number of label values is wrong.
        """
        labels = self._label_sets.find(label_values)
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

    __slots__ = (
        "_dropped_collector",
        "_dropped_samples",
        "_registry",
        "_update_callbacks",
    )

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._dropped_samples: dict[str, int] = {}
        self._update_callbacks: list[Callable[[], None]] = []
        self._dropped_collector = CounterCollector(
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
            doc: Help text, one sentence.
            unit: Unit of the amounts; empty for a count.
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
            doc: Help text, one sentence.
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
        bounds: Sequence[float] = BUCKET_BOUNDS_MS,
    ) -> Histogram:
        """Declare a histogram.

        Args:
            name: What is observed, without prefix and unit.
            doc: Help text, one sentence.
            unit: Unit of the observations.
            labels: Names of the labels.
            bounds: Upper bounds of the buckets in the unit, in ascending order.

        Returns:
            The histogram.

        Raises:
            MetricError: If the name is malformed or in use.
        """
        full_name = _full_name(name, unit)
        collector, label_sets = self._declare(
            HistogramCollector, full_name, doc, labels
        )
        collector.upper_bounds = tuple(bounds)
        return Histogram(collector, label_sets)

    def observable_histogram(
        self, name: str, doc: str, durations: DurationHistogram
    ) -> None:
        """Declare a histogram whose values are read when the metrics are rendered.

        Args:
            name: What is timed, without prefix and unit.
            doc: Help text, one sentence.
            durations: Source of the values; far cheaper to update than a `Histogram`.

        Raises:
            MetricError: If the name is malformed or in use.
        """
        full_name = _full_name(name, "ms")
        collector, _ = self._declare(HistogramCollector, full_name, doc, [])

        def update() -> None:
            values = HistogramValues(*BUCKET_BOUNDS_MS)
            for bound, count in zip(
                BUCKET_BOUNDS_MS, durations.cumulative_counts(), strict=True
            ):
                values.buckets[bound] = count
            values.buckets[float("inf")] = durations.count
            values.observations = durations.count
            values.sum = durations.sum_ms
            collector.set_value({}, values)

        self.before_render(update)

    def observable_counter(
        self, name: str, doc: str, label: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Declare a counter whose values are read when the metrics are rendered.

        Args:
            name: What is counted, without prefix.
            doc: Help text, one sentence.
            label: Name of the label that holds the keys of the mapping.
            read: Returns the counts by key, for example as a `collections.Counter`.

        Raises:
            MetricError: If the name is malformed or in use.
        """
        full_name = _full_name(name, "total")
        collector, label_sets = self._declare(CounterCollector, full_name, doc, [label])

        def update() -> None:
            for key, value in list(read().items()):
                labels = label_sets.find((key,))
                if labels is not None:
                    collector.set(labels, value)

        self.before_render(update)

    def observable_gauge(
        self,
        name: str,
        doc: str,
        unit: str,
        label: str,
        read: Callable[[], Mapping[str, float]],
    ) -> None:
        """Declare a gauge whose values are read when the metrics are rendered.

        Args:
            name: What is measured, without prefix and unit.
            doc: Help text, one sentence.
            unit: Unit, or the plural of what is counted.
            label: Name of its label.
            read: Returns the values, by label value.
        """
        gauge = self.gauge(name, doc, unit, (label,))

        def update() -> None:
            for label_value, value in read().items():
                gauge.set(value, label_value)

        self.before_render(update)

    def before_render(self, update: Callable[[], None]) -> None:
        """Register a callback that sets metrics before they are rendered.

        Args:
            update: The callback.
        """
        self._update_callbacks.append(update)

    def declare_all(
        self,
        counters: Mapping[str, str],
        read: Callable[[str], Mapping[str, float]],
        histograms: Mapping[str, str],
        durations: Mapping[str, DurationHistogram],
    ) -> None:
        """Declare counters with the label ``kind``, and histograms of durations.

        Args:
            counters: Help text by counter name, which ends in ``_total``.
            read: Returns the counts by kind of the counter with that name.
            histograms: Help text by histogram name, without prefix and unit.
            durations: Values of the histograms, by the same names.

        Raises:
            MetricError: If a name is malformed or in use.
        """
        for name, doc in counters.items():
            base_name = name.removesuffix("_total")
            self.observable_counter(base_name, doc, "kind", partial(read, name))
        for name, doc in histograms.items():
            self.observable_histogram(name, doc, durations[name])

    def render(self) -> bytes:
        """Return all metrics in Prometheus's text format."""
        for update in self._update_callbacks:
            update()
        for name, count in self._dropped_samples.items():
            self._dropped_collector.set({"metric": name}, count)
        content, _ = aioprometheus.render(self._registry, ["text/plain"])
        return content

    def _declare(
        self,
        collector_class: type[Collector],
        full_name: str,
        doc: str,
        labels: Sequence[str],
    ) -> tuple[Collector, _LabelSets]:
        if full_name in self._registry.collectors:
            raise MetricError(
                f"metric {full_name} is declared twice", "choose another name"
            )
        collector = collector_class(
            full_name, " ".join(doc.split()), registry=self._registry
        )
        return collector, _LabelSets(full_name, labels, self._dropped_samples)
