from __future__ import annotations

import json

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lagoonsail_core.unavailable import Unavailable
from lagoonsail_store.endpoints import DECODE_ERRORS, CallResult
from lagoonsail_store.entries import Conflict, Entry, Written
from lagoonsail_store.gateway_json import decode_object, read_entries, read_event
from lagoonsail_store.host_list import Host, parse_hosts
from lagoonsail_store.store_client import Write, _read_deletion, _read_write

NAMES = ["key", "value", "mod_revision", "lease", "kvs", "kv", "type", "header"]
NAMES += ["revision", "succeeded", "responses", "response_range"]
NAMES += ["targets", "labels", "name", "state"]
words = st.sampled_from(["live", "leaving", "DELETE", "YQ==", "7", "", "a:1"])
scalars = st.one_of(
    st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=5), words
)
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.sampled_from(NAMES), inner, max_size=5)
    ),
    max_leaves=14,
)
bodies = st.binary(max_size=60) | values.map(lambda value: json.dumps(value).encode())
fuzzed = settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    # Slow example generation on a busy machine is not a failure.
    suppress_health_check=[HealthCheck.too_slow],
)
DEEP = b"[" * 100_000


@fuzzed
@given(bodies)
def test_any_host_list_gives_hosts_or_a_value_error(data):
    try:
        assert all(type(host) is Host for host in parse_hosts(data))
    except ValueError as error:
        assert str(error)


@fuzzed
@given(bodies)
def test_any_answer_of_the_key_value_service_is_read_or_malformed(data):
    """Parsing any bytes succeeds or raises one of DECODE_ERRORS."""
    write = Write("a", "1", 0)
    reads = (
        lambda body: read_entries(body),
        lambda body: [read_event(body)],
        lambda body: [_read_deletion(CallResult(200, body, False))],
        lambda body: [_read_write([write], CallResult(200, body, True))],
    )
    for read in reads:
        try:
            results = read(decode_object(data))
        except DECODE_ERRORS:
            continue
        kinds = (Entry, Written, Conflict, Unavailable)
        assert all(isinstance(result, kinds) for result in results)


def test_deep_answers_are_refused():
    with pytest.raises(ValueError, match="deep"):
        parse_hosts(DEEP)
    with pytest.raises(DECODE_ERRORS):
        decode_object(DEEP)
