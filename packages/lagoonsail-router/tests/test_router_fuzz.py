"""Any input from outside is parsed or refused with a typed result."""

from __future__ import annotations

import json
import math
from http.client import HTTPException

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from lagoonsail_core.unavailable import Unavailable
from lagoonsail_router.admin import _parse_pushed_document
from lagoonsail_router.backend import (
    _find_completion_id,
    _find_usage,
    _parse_object,
    _read_token_count,
)
from lagoonsail_router.batched_gets import _parse, _parse_simple, _parse_with_library
from lagoonsail_router.call import Call, read_call
from lagoonsail_router.engine_calls import MAX_RETRY_AFTER_MS, read_retry_after_ms
from lagoonsail_router.engine_state import EngineState, parse_state
from lagoonsail_router.key_log import parse_keys
from lagoonsail_router.load_reports import parse_cache_events, parse_load
from lagoonsail_router.problems import CallProblem
from lagoonsail_sharing.server_limit import LoadReport

NAMES = ["usage", "completion_tokens", "id", "choices", "events", "kind", "hash"]
NAMES += ["sequence", "adapters", "model", "version", "role", "loading", "key"]
NAMES += ["revision", "value", "prompt", "max_tokens", "stream", "owner", "lease"]
NAMES += ["incarnation", "epoch", "state", "router", "region"]
words = st.sampled_from(["stored", "owned", "documents/a/b", "cordero-2", "1"])
scalars = st.one_of(
    st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=5), words
)
values = st.recursive(
    scalars,
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.sampled_from(NAMES), inner, max_size=8)
    ),
    max_leaves=14,
)
texts = values.map(json.dumps) | st.text(max_size=30)
bodies = texts.map(lambda text: text.encode("utf-8", "replace")) | st.binary()
fuzzed = settings(
    derandomize=True,
    deadline=None,
    max_examples=200,
    suppress_health_check=[
        # A slow machine must not fail the test.
        HealthCheck.too_slow,
        # All examples share one instance of each fixture.
        HealthCheck.function_scoped_fixture,
    ],
)
DEEP = b"[" * 100_000


def is_cost(value) -> bool:
    return value is None or (math.isfinite(value) and value >= 0)


def check_answer(body: bytes) -> None:
    """Check that no answer yields a cost that a frame cannot encode."""
    assert is_cost(_read_token_count(_parse_object(body)))
    assert is_cost(_find_usage(b"data: " + body + b"\n\n"))
    completion_id = _find_completion_id(b"data: " + body + b"\n\n")
    assert completion_id.isascii()
    assert "/" not in completion_id
    state = parse_state(200, body)
    assert state is None or type(state) is EngineState
    assert isinstance(parse_cache_events(body), list | Unavailable)


@fuzzed
@given(bodies)
def test_any_answer_of_a_backend_server_is_read_or_passed_over(body):
    check_answer(body)


@pytest.mark.parametrize(
    "body",
    [
        DEEP,
        b'{"usage": {"completion_tokens": 1e999}}',
        b'{"usage": {"completion_tokens": NaN}}',
        b'{"usage": {"completion_tokens": 1%s}}' % (b"0" * 400),
        b'{"id": "../../orders"}',
        b'{"events": [{"kind": "stored", "hash": Infinity, "sequence": 1}]}',
    ],
)
def test_hostile_answer_of_a_backend_server_is_passed_over(body):
    check_answer(body)


@fuzzed
@given(
    st.sampled_from(["engine:num_requests_running", "engine:warm", "x{a=1}"]),
    st.one_of(st.floats().map(str), st.integers().map(str), st.text(max_size=6)),
)
def test_any_load_report_is_read_or_refused(name, value):
    body = f"engine:num_requests_running 3\n{name} {value}\n"
    report = parse_load(body.encode("utf-8", "replace"), "i1", 5.0)
    assert isinstance(report, LoadReport | Unavailable)
    assert not report or 0 <= report.running <= 1_000_000


field_names = st.sampled_from(["X-Server-Incarnation", "x", "Retry-After", "", " A"])
field_names |= st.sampled_from(["Content-Length", "content-length", "CONTENT-LENGTH"])
field_names |= st.sampled_from(["Transfer-Encoding", "Connection", "Content-Type"])
field_values = st.integers(-2, 12).map(str) | st.text(max_size=8)
field_values |= st.sampled_from(
    ["chunked", "close", "0x4", "+4", " 4 ", "4, 4", "i-1\t"]
)
field_lines = st.builds(
    lambda name, colon, value, end: f"{name}{colon}{value}{end}",
    field_names,
    st.sampled_from([":", ": ", ":\t ", " : ", ""]),
    field_values,
    st.sampled_from(["\r\n"] * 9 + ["\n", "\r", "\r\n "]),
)
status_lines = st.sampled_from(["HTTP/1.1 200 OK", "HTTP/1.0 503 ", "HTTP/1.1 100 C"])
status_lines |= st.sampled_from(["HTTP/1.1 404", "HTTP/2 200 OK", "HTTP/1.1 204 N"])
answers = st.builds(
    lambda status, lines, end, body: (
        f"{status}\r\n{''.join(lines)}{end}".encode("utf-8", "replace") + body
    ),
    status_lines,
    st.lists(field_lines, max_size=6),
    st.sampled_from(["\r\n"] * 5 + ["", "\n"]),
    st.binary(max_size=14) | st.sampled_from([b"4\r\nload\r\n0\r\n\r\n"]),
)

visible = st.text(st.characters(min_codepoint=31, max_codepoint=127), max_size=8)
# Most are answers as servers send them; the others differ in one place.
usual_answers = st.builds(
    lambda status, name, value, length, lines, body: (
        f"{status}\r\n{name}: {value}\r\n{length}\r\n{''.join(lines)}\r\n".encode()
        + body
    ),
    status_lines,
    st.sampled_from(["X-Server-Incarnation", "x", "Transfer-Encoding", "a b", "A_1"]),
    visible | st.just("chunked"),
    st.sampled_from(["Content-Length: 4", "content-length:5", "Content-Length: 4 "]),
    st.lists(
        st.just("Content-Length: 3\r\n")
        | st.builds(lambda value: f"X: {value}\r\n", visible),
        max_size=1,
    ),
    st.sampled_from([b"load", b"loads!", b"loa", b"1\r\na\r\n0\r\n\r\n"]),
)


def parse_or_none(parse, received):
    try:
        return parse(received)
    except (HTTPException, ValueError):
        return None


@settings(fuzzed, max_examples=2000)
@given(usual_answers | answers | bodies)
def test_any_answer_is_parsed_as_the_library_does_or_refused(received):
    answer = parse_or_none(_parse, received)
    assert answer == parse_or_none(_parse_with_library, received)


def test_plain_answers_need_no_library():
    head = b"HTTP/1.1 200 OK\r\nX-Server-Incarnation: i-1 \r\nContent-Length:4\r\n\r\n"
    assert _parse_simple(head + b"load") == _parse_with_library(head + b"load")
    assert _parse_simple(head + b"loa") is None


states = st.fixed_dictionaries(
    {
        "adapters": values | st.lists(st.text(max_size=3), max_size=3),
        "model": values | st.text(max_size=3),
        "version": values | st.text(max_size=3),
        "role": values | st.text(max_size=3),
        "loading": values | st.booleans(),
    }
)


@fuzzed
@given(states)
def test_any_engine_state_is_taken_as_it_is_or_not_at_all(fields):
    state = parse_state(200, json.dumps(fields).encode())
    assert parse_state(500, json.dumps(fields).encode()) is None
    if state is not None:
        assert [state.model, state.version, state.role, state.is_loading] == [
            fields[name] for name in ("model", "version", "role", "loading")
        ]
        assert state.adapters == set(fields["adapters"])
        assert all(type(adapter) is str for adapter in state.adapters)


days = st.sampled_from(["Fri, ", "Zzz, ", ""])
numbers = st.integers(-1, 10**5)
dates = st.builds(
    lambda day, number, year, hour, zone: (
        f"{day}{number} Dec {year} {hour}:00:00 {zone}"
    ),
    days,
    st.integers(-1, 40),
    numbers,
    st.integers(-1, 30),
    st.sampled_from(["GMT", "+9999", "-0000", ""]) | numbers.map(str),
)


@fuzzed
@given(dates | st.text(max_size=20) | st.floats().map(str) | st.integers().map(str))
def test_any_limit_of_the_weight_store_becomes_a_bounded_time(time, text):
    assert 0 <= read_retry_after_ms(text, time.clock) <= MAX_RETRY_AFTER_MS


@fuzzed
@given(texts)
def test_any_record_of_keys_is_read_or_refused(text):
    pairs = parse_keys(text)
    assert isinstance(pairs, list | Unavailable)
    assert not pairs or all(type(item) is int for pair in pairs for item in pair)


@fuzzed
@given(bodies)
def test_any_pushed_document_is_read_or_refused(body):
    parsed = _parse_pushed_document(body)
    if not isinstance(parsed, Unavailable):
        key, revision, value = parsed
        assert key.startswith("documents/")
        assert 0 < revision < 2**63
        assert value.encode() is not None


@fuzzed
@given(
    st.sampled_from(["members/cordero-2", "shards/a/b@c", "documents/a/b", "x"]),
    texts,
)
def test_any_record_is_taken_or_rejected_and_counted(configuration, key, text):
    before = sum(configuration._context.counters.values())
    is_taken = configuration.apply(key, configuration.changes + 1, text)
    counted = sum(configuration._context.counters.values()) - before
    assert (is_taken, counted >= 1) in ((True, False), (False, True))
    json.dumps(configuration.revisions())


@fuzzed
@given(
    st.sampled_from(["REQUEST_METHOD", "RAW_PATH_INFO", "QUERY_STRING"])
    | st.sampled_from(["HTTP_AUTHORIZATION", "HTTP_X_COST_HINT", "HTTP_X_REQUEST_ID"])
    | st.sampled_from(["HTTP_IDEMPOTENCY_KEY", "HTTP_ACCEPT", "CONTENT_TYPE"]),
    # The WSGI server decodes headers as Latin-1.
    st.binary(max_size=40).map(lambda data: data.decode("latin1")),
    bodies,
)
def test_any_call_is_taken_or_refused_with_a_problem(
    configuration, make_document, make_env, name, value, body
):
    configuration.apply("documents/cordero/registro", 1, make_document())
    configuration.apply(
        "documents/cordero/asistente", 2, make_document("asistente", "engine")
    )
    for path in ("/cordero/registro/bibs?a=1", "/cordero/asistente/v1/completions"):
        env = make_env(path, "POST", body)
        for fields in (env, {**env, name: value}):
            try:
                assert type(read_call(fields, configuration, 0.0)) is Call
            except CallProblem as problem:
                assert problem.ran == "no"
                assert json.loads(problem.body("q"))["type"]
