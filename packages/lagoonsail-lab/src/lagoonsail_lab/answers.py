"""Checks whether an answer is complete and belongs to its call."""

from __future__ import annotations

import hashlib
import json
import re
from typing import TYPE_CHECKING

from lagoonsail_lab.call_record import RAN_LOST, RAN_NO, RAN_UNKNOWN

if TYPE_CHECKING:
    from lagoonsail_lab.call_record import Attempt, Call

_TOKENS_PATTERN = re.compile(r"#tokens=(\d+)")


def check_answer(
    call: Call, attempt: Attempt, body: bytes, headers: dict[str, str]
) -> None:
    """Check whether an answer that arrived to its end is complete and correct.

    Args:
        call: The call.
        attempt: Its attempt, with the status set; receives the result.
        body: Complete body.
        headers: Headers of the answer.
    """
    if attempt.status != 200:
        _read_problem(attempt, body, headers)
    elif call.is_stream:
        _check_stream(call, attempt, body)
    elif call.path == "/v1/completions":
        _check_completion(call, attempt, body)
    else:
        _check_echo(call, attempt, body)


def _read_problem(attempt: Attempt, body: bytes, headers: dict[str, str]) -> None:
    attempt.retry_after_s = _read_seconds(headers.get("Retry-After", "0"))
    problem = _load_object(body)
    attempt.reason = str(
        problem.get("title") or problem.get("error") or "error without a title"
    )
    attempt.ran = _read_execution_status(problem, headers)


def _read_execution_status(problem: dict, headers: dict[str, str]) -> str:
    ran = problem.get("ran")
    if ran in (RAN_NO, RAN_UNKNOWN):
        return ran
    # Routers forward the error of a backend server unchanged; an error of the router
    # itself must say whether the call ran.
    return RAN_UNKNOWN if "X-Server-Incarnation" in headers else RAN_LOST


def _check_stream(call: Call, attempt: Attempt, body: bytes) -> None:
    events = body.decode(errors="replace").split("\n\n")
    texts = []
    for event in events:
        if event.startswith("event: error"):
            problem = _load_object(event.partition("data: ")[2].encode())
            attempt.ran = RAN_UNKNOWN
            attempt.reason = (
                f"stream ended with an error event: {problem.get('title', '')}"
            )
            return
        choices = _load_object(event.removeprefix("data: ").encode()).get("choices")
        if choices:
            texts.append(str(choices[0].get("text", "")))
    if "data: [DONE]" not in events:
        attempt.reason = "stream ended without [DONE]"
        return
    _check_text(call, attempt, "".join(texts))


def _check_completion(call: Call, attempt: Attempt, body: bytes) -> None:
    choices = _load_object(body).get("choices") or [{}]
    _check_text(call, attempt, str(choices[0].get("text", "")))


def _check_text(call: Call, attempt: Attempt, text: str) -> None:
    expected = expected_text(_load_object(call.body).get("prompt", ""))
    if text == expected:
        attempt.cost = float(text.count(" "))
        return
    is_same_prompt = text.startswith(expected[:8])
    attempt.reason = (
        "text truncated or changed"
        if is_same_prompt
        else "text belongs to another prompt"
    )


def _check_echo(call: Call, attempt: Attempt, body: bytes) -> None:
    answer = _load_object(body)
    if answer.get("echo") != hashlib.sha256(call.body).hexdigest():
        attempt.reason = "echo of another body"
    elif answer.get("request_id") != attempt.request_id:
        attempt.reason = "answer to another request"
    elif answer.get("path") != call.path.partition("?")[0]:
        attempt.reason = "answer to another path"
    else:
        attempt.cost = 1.0


def expected_text(prompt: str) -> str:
    """Return the complete answer text that belongs to a prompt.

    Args:
        prompt: The prompt; `#tokens=N` in it sets the length of the answer.

    Returns:
        The text.

    Example:
        >>> expected_text("a #tokens=1").endswith("-0 ")
        True
    """
    found = _TOKENS_PATTERN.search(prompt)
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    count = int(found[1]) if found else 0
    return "".join(f"{digest}-{index} " for index in range(count))


def _load_object(data: bytes) -> dict:
    try:
        value = json.loads(data)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def _read_seconds(text: str) -> float:
    try:
        return max(0.0, float(text))
    except ValueError:
        return 0.0
