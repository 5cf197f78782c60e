from __future__ import annotations

import json
from types import SimpleNamespace

import pytest

from lagoonsail_peer.signing import sign
from lagoonsail_router.admin import Admin


@pytest.fixture
def daemon(context, configuration):
    return SimpleNamespace(context=context, configuration=configuration)


@pytest.fixture
def ask(daemon, make_env):
    """Sends a signed request; returns status, headers and decoded JSON."""
    admin = Admin(daemon)

    def ask_one(path, method="GET", body=b"", **more):
        env = make_env(path, method, body, **more)
        signature = sign(b"", method, path, body, daemon.context.clock)
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
