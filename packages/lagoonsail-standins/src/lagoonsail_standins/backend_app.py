"""The HTTP side of a backend server: its routes, and bodies that may break."""

from __future__ import annotations

from typing import TYPE_CHECKING

from lagoonsail_standins.caller_connection import drop_caller, keep_connection
from lagoonsail_standins.runs import BROKEN, CANCELLED, WHOLE
from lagoonsail_standins.serving import Answer, BrokenAnswerError, answer_json, make_app

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lagoonsail_standins.backend import Backend
    from lagoonsail_standins.runs import Run
    from lagoonsail_standins.serving import Request


def send_body(
    backend: Backend, run: Run, work: Callable[[], None], body: bytes, shown: bytes
) -> Iterable[bytes]:
    """Do the work of a run, then hand over a body of known length.

    Args:
        backend: The server.
        run: The run, which is finished here.
        work: Does the work; raises BrokenAnswerError if the run ends meanwhile.
        body: The whole body.
        shown: What is sent of it; empty for HEAD.

    Yields:
        The body, or half of it if the answer is to break.

    Raises:
        BrokenAnswerError: If the answer breaks.
    """
    try:
        breaks = backend.takes_break()
        work()
        if breaks:
            yield shown[: len(body) // 2]
            backend.finish(run, BROKEN)
            drop_caller()
            raise BrokenAnswerError
        yield shown
        backend.finish(run, WHOLE)
    finally:
        # Reached early when the connection closes while the body is written.
        backend.finish(run, CANCELLED)


def make_backend_app(
    backend: Backend,
    routes: dict[tuple[str, str], Callable[[Request], Answer]],
    fallback: Callable[[Request], Answer],
) -> Callable:
    """Return the WSGI application of a backend server.

    Args:
        backend: The server.
        routes: Handlers by method and exact path, besides those for tests.
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
    return keep_connection(app)
