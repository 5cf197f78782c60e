from __future__ import annotations

import hashlib
import json
from types import SimpleNamespace

import pytest

from lagoonsail_router.call import read_call
from lagoonsail_router.problems import NOT_RUN, CallProblem

COMPLETIONS = "/cordero/asistente/v1/completions"


@pytest.fixture
def read(configuration, make_document, make_env):
    more = "[calls POST /search]\nrepeatable = yes\n"
    configuration.apply("documents/cordero/registro", 1, make_document(more=more))
    engine = make_document("asistente", "engine")
    configuration.apply("documents/cordero/asistente", 2, engine)

    def read_one(*arguments, **options):
        return read_call(make_env(*arguments, **options), configuration, 5.0)

    return read_one


def refusal(read, *arguments, **options):
    with pytest.raises(CallProblem) as caught:
        read(*arguments, **options)
    problem = caught.value
    assert problem.ran == NOT_RUN
    assert problem.remedy
    assert problem.retry_after_s is None
    return problem.status, problem.kind


def test_call_is_read_whole(read):
    body = json.dumps({"prompt": "x" * 300, "max_tokens": 7, "stream": True}).encode()
    options = {
        "HTTP_X_REQUEST_ID": "r-1",
        "HTTP_IDEMPOTENCY_KEY": "k-1",
        "HTTP_X_TRACE": "t",
        "HTTP_X_LAGOONSAIL_EPOCH": "99",
        "HTTP_CONNECTION": "close",
        "CONTENT_TYPE": "application/json",
    }
    call = read(f"{COMPLETIONS}?a=1&b=%20", "POST", body, **options)
    assert (call.request_id, call.account, call.method) == ("r-1", "norte", "POST")
    assert call.path == "/v1/completions?a=1&b=%20"
    assert call.headers == {"X-Trace": "t", "Content-Type": "application/json"}
    assert call.body == body
    assert (call.is_stream, call.estimate, call.arrived_ms) == (True, 7.0, 5.0)
    assert call.prefix
    # A repeatable call needs no record of its key.
    assert (call.is_repeatable, call.idempotency_key, call.key_hash) == (True, "k-1", 0)


# A key that was withdrawn while the body arrived was served.
def test_call_is_handled_by_the_document_in_force_when_its_body_ends(
    configuration, make_document, make_env
):
    name = "documents/cordero/registro"
    configuration.apply(name, 1, make_document())
    env = make_env(method="POST", body=b"x")
    key_sha256 = hashlib.sha256(b"norte-key").hexdigest()
    without_key = make_document().replace(key_sha256, "0" * 64)

    def read(_size):
        configuration.apply(name, 2, without_key)
        return b"x"

    env["wsgi.input"] = SimpleNamespace(read=read)
    assert refusal(lambda: read_call(env, configuration, 5.0)) == (
        401,
        "unknown_account",
    )


def test_key_is_hashed_with_service_and_account(read):
    def key_hash(path="/cordero/registro/bibs", account="norte"):
        return read(
            path,
            "POST",
            HTTP_IDEMPOTENCY_KEY="k-1",
            HTTP_AUTHORIZATION=f"Bearer {account}-key",
        ).key_hash

    hashes = {
        key_hash(),
        key_hash(account="sur"),
        key_hash("/cordero/asistente/other"),
    }
    assert len(hashes) == 3
    assert key_hash() in hashes
    assert all(0 < item < 2**63 for item in hashes)


def test_path_is_passed_on_as_it_was_sent(read):
    call = read("/cordero/registro/b%2Fc%3Fd/%C3%B1%20e")
    assert call.path == "/b%2Fc%3Fd/%C3%B1%20e"
    assert read("/cordero/registro").path == "/"
    # The path as the backend server resolves it decides whether a call is repeatable.
    assert read("/cordero/registro/%73earch", "POST").is_repeatable
    assert not read("/cordero/registro/bibs", "POST").is_repeatable
    assert not read("/cordero/registro/search/%2E%2E/bibs", "POST").is_repeatable
    assert read("/cordero/asistente/v1//%63ompletions", "POST", b"{}").is_repeatable
    found = refusal(read, "/cordero/asistente/v1//%63ompletions", "POST", b"[]")
    assert found == (400, "malformed_completion")


def test_request_id_is_made_up_when_missing(read):
    ids = {read().request_id for _ in range(100)}
    assert len(ids) == 100


@pytest.mark.parametrize(
    "path",
    ["/", "/cordero", "/cordero/none/x", "//registro/x", "/kalapati/registro/x"],
)
def test_unknown_service(read, path):
    assert refusal(read, path) == (404, "unknown_service")


@pytest.mark.parametrize(
    "value",
    ["", "Bearer", "Bearer x", "Basic norte-key", "norte-key", "Bearer \xff", "bearer"],
)
def test_unknown_account(read, value):
    found = refusal(read, HTTP_AUTHORIZATION=value)
    assert found == (401, "unknown_account")


@pytest.mark.parametrize("value", ["a b", "x" * 129, "\xe9", "a\tb"])
def test_malformed_ids(read, value):
    found = refusal(read, HTTP_X_REQUEST_ID=value)
    assert found == (400, "malformed_request_id")
    found = refusal(read, HTTP_IDEMPOTENCY_KEY=value)
    assert found == (400, "malformed_idempotency_key")


@pytest.mark.parametrize("value", ["x", "-1", "nan", "inf", "1e10"])
def test_malformed_cost_hint(read, value):
    assert refusal(read, HTTP_X_COST_HINT=value) == (400, "malformed_cost_hint")


@pytest.mark.parametrize("path", ["/cordero/registro/\xf1", "/cordero/registro/a?\xf1"])
def test_path_that_is_not_ascii(read, path):
    assert refusal(read, path) == (400, "malformed_path")


def test_body_at_the_limit_and_above(read):
    assert len(read(method="POST", body=b"x" * 1000).body) == 1000
    found = refusal(read, method="POST", body=b"x" * 1001)
    assert found == (413, "body_too_large")


def chunked(*parts):
    """Return a chunked body of parts; an exception among them is raised when read."""
    remaining_parts = list(parts)

    def read_part(size):
        part = remaining_parts.pop(0) if remaining_parts else b""
        if isinstance(part, Exception):
            raise part
        return part[:size]

    source = SimpleNamespace(read=read_part)
    return {
        "CONTENT_LENGTH": "",
        "HTTP_TRANSFER_ENCODING": "chunked",
        "wsgi.input": source,
    }


def test_chunked_body_has_the_same_limit(read):
    call = read(method="POST", **chunked(b"x" * 600, b"y" * 400))
    assert len(call.body) == 1000
    found = refusal(read, method="POST", **chunked(b"x" * 600, b"y" * 401))
    assert found == (413, "body_too_large")


@pytest.mark.parametrize("error", [OSError("end of file"), ValueError("no length")])
def test_body_that_breaks_off(read, error):
    found = refusal(read, method="POST", body=b"x" * 9, CONTENT_LENGTH="10")
    assert found == (400, "truncated_body")
    found = refusal(read, method="POST", **chunked(b"x", error))
    assert found == (400, "truncated_body")


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"no JSON",
        b"[]",
        b'{"prompt": 1}',
        b'{"prompt": "", "max_tokens": "9"}',
        b'{"prompt": "", "max_tokens": -1}',
        b'{"prompt": "", "max_tokens": NaN}',
        b"\xff\xfe",
        b"[" * 999,
    ],
)
def test_malformed_completion(read, body):
    found = refusal(read, COMPLETIONS, "POST", body)
    assert found == (400, "malformed_completion")


def test_other_calls_of_an_engine_have_any_body(read):
    assert read("/cordero/asistente/v1/other", "POST", b"no JSON").prefix == []
