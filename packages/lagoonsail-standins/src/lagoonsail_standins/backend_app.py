"""HTTP routes of a backend server, and response bodies that may break off."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_standins.caller_connection import (
    close_caller_connection,
    remember_connection,
)
from lagoonsail_standins.runs import BROKEN, CANCELLED, WHOLE
from lagoonsail_standins.serving import Answer, BrokenAnswerError, answer_json, make_app

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lagoonsail_standins.backend import Backend
    from lagoonsail_standins.runs import Run
    from lagoonsail_standins.serving import Request


def send_body(
    backend: Backend, run: Run, work: Callable[[], None], body: bytes, sent_body: bytes
) -> Iterable[bytes]:
    """Do the work of a run, then send a body of known length.

    Args:
        backend: The server.
        run: The run, which this function ends.
        work: Does the work; raises BrokenAnswerError if the run ends early.
        body: The whole body.
        sent_body: The body to send; empty for HEAD.

    Yields:
        The body, or half of it if the answer must break off.

    Raises:
        BrokenAnswerError: If the answer breaks off.
    """
    try:
        must_break = backend.consume_break()
        work()
        if must_break:
            yield sent_body[: len(body) // 2]
            backend.finish(run, BROKEN)
            close_caller_connection()
            raise BrokenAnswerError
        yield sent_body
        backend.finish(run, WHOLE)
    finally:
        # Also runs when the connection closes while the body is being written.
        backend.finish(run, CANCELLED)


def make_backend_app(
    backend: Backend,
    routes: dict[tuple[str, str], Callable[[Request], Answer]],
    fallback: Callable[[Request], Answer],
) -> Callable:
    """Return the WSGI application of a backend server.

    Args:
        backend: The server.
        routes: Handlers by method and exact path, without `/_control` and `/_record`.
        fallback: Handler of all other requests.

    Returns:
        The application.
    """
    app = make_app(
        {
            **routes,
            ("POST", "/_control"): backend.control,
            ("GET", "/_record"): lambda _request: answer_json(backend.record()),
        },
        fallback,
    )
    return remember_connection(app)
