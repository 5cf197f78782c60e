"""Shared code of the stand-ins: options, the listening line, HTTP with JSON."""

from __future__ import annotations

import json
import os
import signal
import sys
import traceback
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

import defopt

from lagoonsail_core.errors import LagoonsailError
from lagoonsail_core.green import eventlet, green_socket
from lagoonsail_core.socket_input import is_closed_by_peer

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Mapping

MAX_CONNECTIONS = 4000
"""Most connections that one stand-in serves at once."""
BACKLOG = 1024
"""Length of the queue of connections that are not yet accepted."""


class MalformedRequestError(LagoonsailError):
    """A request that a stand-in cannot decode; it is answered with 400."""


class BrokenAnswerError(LagoonsailError):
    """Raised in a body iterator to close the connection before the body ends."""

    def __init__(self) -> None:
        super().__init__(
            "answer ended before its body was complete",
            "retry the request; a simulated fault, cancellation or disconnect ended it",
        )


@dataclass(slots=True, eq=False)
class Request:
    """One HTTP request."""

    method: str
    """Method in upper case."""
    path: str
    """Decoded path without the query."""
    query: dict[str, str]
    """Query parameters; the last value of a repeated name is used."""
    headers: dict[str, str]
    """Headers by lower-case name."""
    body: bytes
    """Whole body."""
    drop_connection: Callable[[], None]
    """Shuts down both directions of the connection immediately."""
    is_client_gone: Callable[[], bool]
    """Returns whether the client has closed the connection, without blocking."""

    def json(self) -> dict:
        """Return the body as a JSON object; an empty body is an empty object.

        Returns:
            The decoded object.

        Raises:
            MalformedRequestError: If the body is not a JSON object.
        """
        try:
            value = json.loads(self.body or b"{}")
        except ValueError as error:
            raise MalformedRequestError(
                f"body that is not JSON ({error})", "send a JSON object"
            ) from error
        if type(value) is not dict:
            raise MalformedRequestError("body is no object", "send a JSON object")
        return value


@dataclass(slots=True)
class Answer:
    """One HTTP answer."""

    status: int = 200
    """Status code."""
    body: bytes | Iterable[bytes] = b""
    """Whole body, or an iterable whose items are sent as chunks when available."""
    headers: dict[str, str] = field(default_factory=dict)
    """Headers, without those for framing."""
    dropped: bool = False
    """Close the connection instead of answering."""


def answer_json(
    value: object, status: int = 200, headers: Mapping[str, str] | None = None
) -> Answer:
    """Return an answer with a JSON body.

    Args:
        value: Value to encode.
        status: Status code.
        headers: Further headers.

    Returns:
        The answer.
    """
    body = json.dumps(value, separators=(",", ":")).encode()
    return Answer(status, body, {"Content-Type": "application/json", **(headers or {})})


def answer_dropped() -> Answer:
    """Return an answer that closes the connection without sending anything."""
    return Answer(dropped=True)


def _log_unexpected_errors(body: Iterable[bytes]) -> Iterator[bytes]:
    """Forward a body, and print the traceback of errors that are not simulated."""
    try:
        yield from body
    except BrokenAnswerError:
        raise
    except Exception:
        traceback.print_exc()
        raise


def _read_request(environ: dict) -> Request:
    source = environ["eventlet.input"]

    def drop_connection() -> None:
        try:
            source.get_socket().shutdown(green_socket.SHUT_RDWR)
        except OSError:
            # The client has already closed it.
            return

    def is_client_gone() -> bool:
        return is_closed_by_peer(source.get_socket().fd)

    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=dict(parse_qsl(environ.get("QUERY_STRING", ""), keep_blank_values=True)),
        headers={name.lower(): value for name, value in environ["headers_raw"]},
        body=source.read(),
        drop_connection=drop_connection,
        is_client_gone=is_client_gone,
    )


def make_app(
    routes: Mapping[tuple[str, str], Callable[[Request], Answer]],
    fallback: Callable[[Request], Answer] | None = None,
) -> Callable:
    """Return a WSGI application that dispatches requests to handlers.

    Args:
        routes: Handlers by method and exact path.
        fallback: Handler of all other requests; they get 404 if it is None.

    Returns:
        The application, for `serve`.
    """

    def answer(request: Request) -> Answer:
        handler = routes.get((request.method, request.path), fallback)
        if handler is None:
            return answer_json({"error": f"no {request.method} {request.path}"}, 404)
        try:
            return handler(request)
        except MalformedRequestError as error:
            return answer_json({"error": str(error)}, 400)
        except Exception:
            # eventlet would answer 500 without logging the cause.
            traceback.print_exc()
            return answer_json({"error": "fault of the stand-in, see its log"}, 500)

    def app(environ: dict, start_response: Callable) -> Iterable[bytes]:
        request = _read_request(environ)
        result = answer(request)
        if result.dropped:
            request.drop_connection()
            eventlet.wsgi.WSGI_LOCAL.already_handled = True
            return []
        phrase = HTTPStatus(result.status).phrase
        start_response(f"{result.status} {phrase}", list(result.headers.items()))
        if isinstance(result.body, bytes):
            return [result.body]
        return _log_unexpected_errors(result.body)

    return app


def listen(port: int) -> green_socket.socket:
    """Open a listening socket on the loopback address.

    Args:
        port: TCP port; 0 takes any free one.

    Returns:
        The listening socket.

    Raises:
        OSError: If the port is in use.
    """
    listener = green_socket.socket(green_socket.AF_INET, green_socket.SOCK_STREAM)
    listener.setsockopt(green_socket.SOL_SOCKET, green_socket.SO_REUSEADDR, 1)
    # Accepted connections inherit this option.
    listener.setsockopt(green_socket.IPPROTO_TCP, green_socket.TCP_NODELAY, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen(BACKLOG)
    return listener


def print_listening(port: int, **fields: int | str | list[int]) -> None:
    """Print the line that reports the open port to the parent process.

    Args:
        port: The port.
        **fields: Additional fields of the line.
    """
    print(json.dumps({"event": "listening", "port": port, **fields}), flush=True)


def exit_on_sigterm() -> None:
    """Make SIGTERM end the process immediately with exit code 0."""
    # Open connections would delay a graceful stop; a stand-in has nothing to save.
    signal.signal(signal.SIGTERM, lambda _signal, _frame: os._exit(0))


def serve_listener(listener: green_socket.socket, app: Callable) -> None:
    """Serve an application on a listening socket in an endless loop.

    Args:
        listener: Socket returned by `listen`.
        app: WSGI application.
    """
    eventlet.wsgi.server(
        listener,
        app,
        max_size=MAX_CONNECTIONS,
        minimum_chunk_size=1,
        keepalive=True,
        log_output=False,
        debug=False,
    )


def serve(app: Callable, port: int) -> None:
    """Open a port, report it on standard output and serve until SIGTERM.

    Args:
        app: WSGI application.
        port: TCP port; 0 takes any free one.
    """
    exit_on_sigterm()
    listener = listen(port)
    print_listening(listener.getsockname()[1])
    serve_listener(listener, app)


def run(main: Callable) -> None:
    """Parse the command line into a function's keyword arguments and call it.

    Args:
        main: Function with keyword-only arguments and a docstring.
    """
    defopt.run(main, argv=sys.argv[1:])
