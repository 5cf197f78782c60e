from __future__ import annotations

import json
from types import SimpleNamespace

import pytest

from lagoonsail_peer.signing import sign
from lagoonsail_router.admin import Admin

KEY = b"0123456789abcdef"


@pytest.fixture
def daemon(context, configuration):
    context.settings.shared_key = KEY
    return SimpleNamespace(context=context, configuration=configuration)


@pytest.fixture
def ask(daemon, make_env):
    """Sends a signed request; returns status, headers and decoded JSON."""
    admin = Admin(daemon)

    def ask_one(path, method="GET", body=b"", **more):
        env = make_env(path, method, body, **more)
        signature = sign(KEY, method, path, body, daemon.context.clock)
        env.setdefault("HTTP_X_LAGOONSAIL_SIGNATURE", signature)
        started = []
        answer = b"".join(admin.serve(env, lambda *head: started.append(head)))
        status, headers = started[0]
        return int(status[:3]), dict(headers), json.loads(answer)

    return ask_one


def test_events_of_another_incarnation_are_all_new(ask, context):
    own = context.incarnation
    for name in ("first", "second"):
        context.timeline.record(name)

    def names(query):
        status, headers, events = ask(f"/timeline?{query}")
        assert (status, headers["X-Lagoonsail-Incarnation"]) == (200, str(own))
        return [event["event"] for event in events]

    assert names("since=1") == names(f"since=1&incarnation={own}") == ["second"]
    assert names("since=1&incarnation=") == ["second"]
    assert names(f"since=9&incarnation={own - 1}") == ["first", "second"]


@pytest.mark.parametrize(
    ("path", "body", "status", "reason"),
    [
        ("/timeline?since=--1", b"", 400, "malformed"),
        ("/timeline?since=%C2%B2", b"", 400, "malformed"),
        (f"/timeline?since={'9' * 5000}", b"", 400, "malformed"),
        ("/documents", b"[" * 200_000, 400, "malformed"),
        ("/documents", b'{"key": 1, "revision": 1, "value": ""}', 400, "malformed"),
        (
            "/documents",
            b'{"key": "documents/a/b", "revision": %d, "value": ""}' % 2**64,
            400,
            "malformed",
        ),
        (
            "/documents",
            b'{"key": "documents/a/../b", "revision": 1, "value": ""}',
            400,
            "malformed",
        ),
        (
            "/documents",
            b'{"key": "documents/a/b", "revision": 1, "value": "#\\ud800"}',
            400,
            "malformed",
        ),
        ("/documents", b"x" * 1_100_001, 413, "body_too_large"),
        ("/nothing", b"", 404, "unknown_path"),
    ],
)
def test_bad_requests_are_refused_and_counted(
    ask, context, configuration, path, body, status, reason
):
    answer = ask(path, "POST" if body else "GET", body)
    assert answer[0] == status
    assert answer[2]["error"]
    assert context.counters["refused_operators_total", reason] == 1
    assert not configuration.records


def test_unsigned_truncated_and_replayed_requests_are_refused(ask, context):
    cases = [
        ({"HTTP_X_LAGOONSAIL_SIGNATURE": ""}, 401, "signature_missing"),
        ({"HTTP_X_LAGOONSAIL_SIGNATURE": "t=1"}, 401, "signature_malformed"),
        ({"CONTENT_LENGTH": "9"}, 400, "body_truncated"),
    ]
    for more, status, reason in cases:
        assert ask("/documents", "POST", b"{}", **more)[0] == status
        assert context.counters["refused_operators_total", reason] == 1
    signature = sign(KEY, "GET", "/timeline", b"", context.clock)
    more = {"HTTP_X_LAGOONSAIL_SIGNATURE": signature}
    assert [ask("/timeline", **more)[0] for _ in range(2)] == [200, 401]
    assert context.counters["refused_operators_total", "signature_replayed"] == 1


def test_failure_of_the_router_is_answered_and_counted(ask, context):
    # The stub daemon lacks the attributes that the status needs.
    assert ask("/status")[0] == 500
    assert context.counters["refused_operators_total", "internal_error"] == 1
