from __future__ import annotations

import json

import pytest

from lagoonsail_router.problems import NOT_RUN, REASONS, UNKNOWN, CallProblem


@pytest.mark.parametrize("status", sorted(REASONS))
def test_problem_is_a_document_that_says_whether_the_call_ran(status):
    problem = CallProblem(status, "some_kind", "it failed", "do this", UNKNOWN)
    body = problem.body("r-1")
    assert json.loads(body) == {
        "type": "urn:lagoonsail:problem:some_kind",
        "title": "some kind",
        "status": status,
        "detail": "it failed; do this",
        "ran": "unknown",
        "request_id": "r-1",
    }
    headers = dict(problem.headers("r-1", body))
    assert headers["Content-Type"] == "application/problem+json"
    assert headers["Content-Length"] == str(len(body))
    assert headers["X-Request-Id"] == "r-1"
    assert "Retry-After" not in headers
    assert problem.status_line() == f"{status} {REASONS[status]}"


def test_refusal_says_when_to_try_again():
    problem = CallProblem(503, "no_slot", "full", "wait", retry_after_s=2)
    assert problem.ran == NOT_RUN
    assert dict(problem.headers("r", b""))["Retry-After"] == "2"
