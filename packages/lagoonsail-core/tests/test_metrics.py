from __future__ import annotations

from collections import Counter

import pytest

from lagoonsail_core import metrics as metrics_module
from lagoonsail_core.durations import BUCKET_BOUNDS_MS, DurationHistogram
from lagoonsail_core.metrics import MAX_LABEL_SETS, MetricError, Metrics


@pytest.fixture
def metrics():
    return Metrics()


def rendered_lines(metrics):
    return metrics.render().decode().splitlines()


def test_counter_adds_by_label(metrics):
    counter = metrics.counter("answers", "Answers sent.", labels=["code", "side"])
    counter.add(1, 200, "cordero")
    counter.add(2, 200, "cordero")
    counter.add(1, 503, "cordero")
    text = rendered_lines(metrics)
    assert "# TYPE lagoonsail_answers_total counter" in text
    assert 'lagoonsail_answers_total{code="200",side="cordero"} 3' in text
    assert 'lagoonsail_answers_total{code="503",side="cordero"} 1' in text


def test_metric_names_contain_units(metrics):
    metrics.counter("sent", "Sent.", unit="bytes").add(5)
    metrics.gauge("waiting", "Waiting.", "requests").set(7)
    metrics.histogram("wait", "Waits.", "ms", bounds=(1.0, 10.0)).observe(3)
    text = rendered_lines(metrics)
    assert "lagoonsail_sent_bytes_total 5" in text
    assert "lagoonsail_waiting_requests 7" in text
    assert 'lagoonsail_wait_ms_bucket{le="1.0"} 0.0' in text
    assert 'lagoonsail_wait_ms_bucket{le="10.0"} 1.0' in text
    assert 'lagoonsail_wait_ms_bucket{le="+Inf"} 1.0' in text
    assert "lagoonsail_wait_ms_sum 3.0" in text
    assert "lagoonsail_wait_ms_count 1.0" in text


def test_gauge_exports_the_last_value(metrics):
    gauge = metrics.gauge("running", "Running.", "requests", ["server"])
    gauge.set(3, "a")
    gauge.set(1, "a")
    assert 'lagoonsail_running_requests{server="a"} 1' in rendered_lines(metrics)


@pytest.mark.parametrize("kind", ["counter", "gauge", "histogram"])
def test_excess_label_sets_are_dropped_and_counted(metrics, kind):
    if kind == "counter":
        record = metrics.counter("x", "X.", unit="ms", labels=["account"]).add
    elif kind == "gauge":
        record = metrics.gauge("x", "X.", "ms", ["account"]).set
    else:
        record = metrics.histogram("x", "X.", "ms", ["account"]).observe
    for number in range(MAX_LABEL_SETS + 5):
        record(1, f"account-{number}")
    record(1, "account-0")
    text = metrics.render().decode()
    name = "lagoonsail_x_ms_total" if kind == "counter" else "lagoonsail_x_ms"
    assert f'lagoonsail_label_overflow_total{{metric="{name}"}} 5' in text
    assert 'account="account-199"' in text
    assert 'account="account-200"' not in text


def test_label_values_cannot_add_lines_or_labels(metrics):
    counter = metrics.counter("x", "X.", labels=["account"])
    counter.add(1, 'a"} 9\nlagoonsail_forged_total 1\r\\')
    counter.add(1, "\ud800" + "b" * 500)
    text = metrics.render().decode()
    assert "\nlagoonsail_forged_total" not in text
    assert r'account="a\"} 9\nlagoonsail_forged_total 1\r\\"' in text
    assert "b" * (metrics_module.MAX_LABEL_LENGTH + 1) not in text


def test_counts_of_a_mapping_are_read_at_rendering(metrics):
    counts = Counter(dials=1)
    metrics.observable_counter("peer_link", "Counts of links.", "kind", lambda: counts)
    counts["dials"] += 2
    assert 'lagoonsail_peer_link_total{kind="dials"} 3' in rendered_lines(metrics)
    counts["closed"] += 1
    assert 'lagoonsail_peer_link_total{kind="closed"} 1' in rendered_lines(metrics)


def test_incorrect_use_raises_metric_error(metrics):
    counter = metrics.counter("x", "X.", labels=["a"])
    with pytest.raises(MetricError):
        counter.add(1)
    with pytest.raises(MetricError):
        counter.add(-1, "v")
    with pytest.raises(MetricError):
        metrics.counter("x", "Again.")
    with pytest.raises(MetricError):
        metrics.gauge("Wrong name", "X.", "ms")
    with pytest.raises(MetricError):
        metrics.gauge("no_unit", "X.", "")


def test_histogram_of_durations_equals_observed_histogram():
    durations, metrics = DurationHistogram(), Metrics()
    observed = metrics.histogram("wait", "Waits.", "ms", bounds=BUCKET_BOUNDS_MS)
    metrics.observable_histogram("read_wait", "Waits.", durations)
    for duration_ms in (0.0, 1.0, 1.5, 37.0, 120_000.0, 1e7):
        durations.add(duration_ms)
        observed.observe(duration_ms)

    def samples(name):
        lines = metrics.render().decode().splitlines()
        return [line.removeprefix(name) for line in lines if line.startswith(name)]

    expected = samples("lagoonsail_wait_ms")
    assert len(expected) == len(BUCKET_BOUNDS_MS) + 3
    read_samples = [line.split(" ") for line in samples("lagoonsail_read_wait_ms")]
    observed_samples = [line.split(" ") for line in expected]
    assert [(k, float(v)) for k, v in read_samples] == [
        (k, float(v)) for k, v in observed_samples
    ]
