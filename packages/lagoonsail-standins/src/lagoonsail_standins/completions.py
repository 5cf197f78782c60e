"""Completions of a model engine: streamed or whole, with cancel and resume."""

from __future__ import annotations

import hashlib
import json
import re
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_standins.backend_app import send_body
from lagoonsail_standins.caller_connection import close_caller_connection
from lagoonsail_standins.runs import BROKEN, CANCELLED, RUNNING, WHOLE, Run
from lagoonsail_standins.serving import (
    Answer,
    BrokenAnswerError,
    MalformedRequestError,
    answer_json,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from lagoonsail_standins.backend import Backend
    from lagoonsail_standins.engine_reports import PromptCache
    from lagoonsail_standins.serving import Request

DEFAULT_TOKENS = 16
"""Length of an answer if neither the prompt nor `max_tokens` sets it."""
MAX_KEPT_COMPLETIONS = 1000
"""Number of latest completions that can be cancelled or resumed by id."""

_TOKENS_PATTERN = re.compile(r"#tokens=(\d{1,7})")
_ID_PATTERN = re.compile(r"/v1/completions/([^/]+)/(cancel|resume)")


@dataclass(slots=True, eq=False)
class Completion:
    """A prompt and its answer."""

    run: Run
    """The run that generates the answer."""
    prompt: str
    """The whole prompt."""
    tokens: int
    """Length of the whole answer in tokens."""
    is_stream: bool
    """Whether the caller asked for a stream."""
    prefill_ms: float = 0.0
    """Time to process the uncached part of the prompt while warm, milliseconds."""

    def token(self, index: int) -> str:
        """Return one token of the answer.

        Args:
            index: Position, from 0.

        Returns:
            The token, with a trailing space.
        """
        return f"{hash_prompt(self.prompt)}-{index} "

    def usage(self) -> dict[str, int]:
        """Return the token counts in the format of the OpenAI interface."""
        words = len(self.prompt.split())
        return {"prompt_tokens": words, "completion_tokens": self.tokens}


def hash_prompt(prompt: str) -> str:
    """Return the first 8 hex digits of a prompt's SHA-256.

    Args:
        prompt: The whole prompt.

    Returns:
        The prefix of each token of the answer.
    """
    return hashlib.sha256(prompt.encode()).hexdigest()[:8]


def count_tokens(prompt: str, max_tokens: int | None) -> int:
    """Return the length of the answer to a prompt.

    Args:
        prompt: The prompt; `#tokens=N` in it takes precedence.
        max_tokens: Used if the prompt has no `#tokens=N`.

    Returns:
        The number of tokens.

    Example:
        >>> count_tokens("a #tokens=3 b", 9), count_tokens("a", 9)
        (3, 9)
    """
    found = _TOKENS_PATTERN.search(prompt)
    if found:
        return int(found[1])
    return DEFAULT_TOKENS if max_tokens is None else max_tokens


class Completions:
    """Answers prompts, and keeps the latest completions by id."""

    __slots__ = (
        "_backend",
        "_cache",
        "_completions",
        "_first_ms",
        "_is_resumable",
        "_prefill_ms",
        "_token_ms",
    )

    def __init__(
        self,
        backend: Backend,
        cache: PromptCache,
        token_ms: float,
        first_ms: float,
        is_resumable: bool,
        prefill_ms: float,
    ) -> None:
        self._backend = backend
        self._cache = cache
        self._token_ms = token_ms
        self._first_ms = first_ms
        self._is_resumable = is_resumable
        self._prefill_ms = prefill_ms
        self._completions: OrderedDict[str, Completion] = OrderedDict()

    def clear(self) -> None:
        """Remove all completions."""
        self._completions.clear()

    def complete(self, request: Request) -> Answer:
        """Answer a prompt.

        Args:
            request: Its body has `prompt` and may have `max_tokens` and `stream`.

        Returns:
            The stream, the whole answer or the refusal.

        Raises:
            MalformedRequestError: If the body is malformed.
        """
        fields = request.json()
        prompt = fields.get("prompt")
        max_tokens = fields.get("max_tokens")
        if not isinstance(prompt, str) or not isinstance(max_tokens, int | None):
            raise MalformedRequestError(
                "malformed prompt or max_tokens", "send a string and an integer"
            )
        admitted = self._backend.admit(request)
        if isinstance(admitted, Answer):
            return admitted
        uncached_characters = len(prompt) - self._cache.add(prompt)
        completion = Completion(
            admitted,
            prompt,
            count_tokens(prompt, max_tokens),
            bool(fields.get("stream")),
            self._prefill_ms * uncached_characters / 1000.0,
        )
        self._store(completion)
        return self._make_answer(completion, 0)

    def _store(self, completion: Completion) -> None:
        self._completions[completion.run.request_id] = completion
        while len(self._completions) > MAX_KEPT_COMPLETIONS:
            self._completions.popitem(last=False)

    def _make_answer(self, completion: Completion, first_index: int) -> Answer:
        headers = self._backend.headers()
        if completion.is_stream:
            headers["Content-Type"] = "text/event-stream"
            return Answer(200, self._stream(completion, first_index), headers)
        text = "".join(
            completion.token(i) for i in range(first_index, completion.tokens)
        )
        body = json.dumps(
            {
                "id": completion.run.request_id,
                "object": "text_completion",
                "choices": [{"index": 0, "text": text, "finish_reason": "stop"}],
                "usage": completion.usage(),
            }
        ).encode()
        headers["Content-Type"] = "application/json"
        headers["Content-Length"] = str(len(body))

        def work() -> None:
            for _ in self._generate(completion, first_index):
                pass

        chunks = send_body(self._backend, completion.run, work, body, body)
        return Answer(200, chunks, headers)

    def _generate(self, completion: Completion, first_index: int) -> Iterable[int]:
        run = completion.run
        first_ms = self._first_ms + completion.prefill_ms
        self._backend.simulate_work(run, first_ms + self._backend.late_ms)
        for index in range(first_index, completion.tokens):
            self._backend.simulate_work(run, self._token_ms)
            run.cost = float(index + 1)
            yield index

    def _stream(self, completion: Completion, first_index: int) -> Iterable[bytes]:
        run = completion.run
        break_index = completion.tokens + 1
        if self._backend.consume_break():
            break_index = (first_index + completion.tokens) // 2
        try:
            for index in self._generate(completion, first_index):
                if index >= break_index:
                    self._backend.finish(run, BROKEN)
                    close_caller_connection()
                    raise BrokenAnswerError
                yield _encode_event(run, choices=[{"text": completion.token(index)}])
            yield _encode_event(run, choices=[], usage=completion.usage())
            yield b"data: [DONE]\n\n"
            self._backend.finish(run, WHOLE)
        finally:
            # Also runs when the connection closes while a chunk is being written.
            self._backend.finish(run, CANCELLED)

    def cancel_or_resume(self, request: Request) -> Answer:
        """Cancel or resume a completion.

        Args:
            request: Its path contains the id, which is the X-Request-Id of the request
                that started the completion.

        Returns:
            The answer; 404 if the engine no longer keeps the completion.
        """
        found = _ID_PATTERN.fullmatch(request.path)
        if not found or request.method != "POST":
            return self._backend.refuse(404, f"no {request.method} {request.path}")
        completion = self._completions.get(found[1])
        if completion is None:
            return self._backend.refuse(404, "unknown completion")
        if found[2] == "cancel":
            return self._cancel(completion)
        return self._resume(completion, request)

    def _cancel(self, completion: Completion) -> Answer:
        self._completions.pop(completion.run.request_id)
        self._backend.finish(completion.run, CANCELLED)
        state = completion.run.state
        return answer_json({"state": state}, headers=self._backend.headers())

    def _resume(self, completion: Completion, request: Request) -> Answer:
        after = request.query.get("after", "0")
        if not self._is_resumable:
            return self._backend.refuse(404, "this engine cannot resume")
        if not after.isdecimal() or int(after) > completion.tokens:
            return self._backend.refuse(400, "after is the number of tokens received")
        if completion.run.state == RUNNING:
            return self._backend.refuse(409, "the completion still runs")
        readmitted = self._backend.readmit(completion.run, request)
        if isinstance(readmitted, Answer):
            return readmitted
        return self._make_answer(completion, int(after))


def _encode_event(run: Run, **fields: object) -> bytes:
    value = {"id": run.request_id, **fields}
    return b"data: " + json.dumps(value).encode() + b"\n\n"
