"""The problem documents with which a router ends requests that it cannot serve."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_router.problems import UNKNOWN, CallProblem

if TYPE_CHECKING:
    from lagoonsail_gateway.admission import Refusal
    from lagoonsail_gateway.gateway_call import GatewayCall

RETRY_AFTER_NO_MANIFEST_S = 0.3
"""Retry-After of a router that has not loaded a manifest yet."""
RETRY_AFTER_NO_RETRIES_S = 0.5
"""Retry-After of a request that exceeds the retry quota."""
RETRY_AFTER_HARMFUL_S = 60.0
"""Retry-After of a request with a part under which servers crash: it will not soon be
served."""
RETRY_AFTER_LEAVING_S = 0.05
"""Retry-After of a router that is stopping; another router can serve immediately."""


def leaving_problem() -> CallProblem:
    """Return the problem of a request that came late in a planned stop."""
    return CallProblem(
        503,
        "leaving",
        "this router is about to stop",
        "try again at another router",
        retry_after_s=RETRY_AFTER_LEAVING_S,
    )


def no_manifest_problem() -> CallProblem:
    """Return the problem of a request that came before the first manifest."""
    return CallProblem(
        503,
        "no_manifest",
        "this router does not know the configuration yet",
        "try again",
        retry_after_s=RETRY_AFTER_NO_MANIFEST_S,
    )


def refusal_problem(refusal: Refusal) -> CallProblem:
    """Return the problem of a request that no server can take now.

    Args:
        refusal: The reason.
    """
    return CallProblem(
        429 if refusal.is_over_share else 503,
        refusal.kind,
        refusal.reason,
        "try again after the time in Retry-After",
        retry_after_s=refusal.retry_after_s,
    )


def harmful_prompt_problem(reason: str) -> CallProblem:
    """Return the problem of a request whose prompt crashes servers.

    Args:
        reason: Which part of the prompt does.
    """
    return CallProblem(
        503,
        "harmful_prompt",
        reason,
        "leave this part out of the prompt",
        retry_after_s=RETRY_AFTER_HARMFUL_S,
    )


def no_retries_problem(call: GatewayCall, reason: str) -> CallProblem:
    """Return the problem of a request that was not run and may not be sent again.

    Args:
        call: The request.
        reason: Why its last attempt failed.
    """
    return CallProblem(
        503,
        "repeats_used_up",
        f"{reason}, and no repeats are left for {call.service}",
        "try again after the time in Retry-After",
        retry_after_s=RETRY_AFTER_NO_RETRIES_S,
    )


def deadline_problem(call: GatewayCall) -> CallProblem:
    """Return the problem of a request whose time is over.

    Args:
        call: The request.
    """
    return CallProblem(
        504,
        "too_late",
        "the time of the request is over",
        "allow more time",
        UNKNOWN if call.may_have_run else "no",
    )


def unknown_outcome_problem(reason: str) -> CallProblem:
    """Return the problem of a request that may have run, but has no whole answer.

    Args:
        reason: Why there is none.
    """
    return CallProblem(
        502,
        "no_answer",
        f"no whole answer came ({reason})",
        "find out whether the request ran before sending it again",
        UNKNOWN,
    )


def caller_gone_problem() -> CallProblem:
    """Return the problem of a request whose caller has left; only the log shows it."""
    return CallProblem(
        502, "caller_gone", "the caller closed its connection", "call again", UNKNOWN
    )
