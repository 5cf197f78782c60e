"""Answers the load balancer's checks of readiness, and metrics scrapers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from lagoonsail_core.metrics import Metrics


def make_readiness_application(path: str, is_ready: Callable[[], bool]) -> Callable:
    """Return a WSGI application that tells whether a router is ready.

    Args:
        path: Path of the check.
        is_ready: Returns whether the router is ready to serve callers.
    """

    def serve(env: dict, start_response: Callable) -> Iterable[bytes]:
        if env["PATH_INFO"] != path:
            status = "404 Not Found"
        elif is_ready():
            status = "200 OK"
        else:
            status = "503 Service Unavailable"
        start_response(status, [("Content-Length", "0")])
        return [b""]

    return serve


def make_metrics_application(
    path: str, make_metrics: Callable[[], Metrics]
) -> Callable:
    """Return a WSGI application that renders metrics.

    Args:
        path: Path of the metrics.
        make_metrics: Makes the metrics; called with the first request.
    """
    metrics: Metrics | None = None

    def serve(env: dict, start_response: Callable) -> Iterable[bytes]:
        nonlocal metrics
        if env["PATH_INFO"] != path:
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        if metrics is None:
            metrics = make_metrics()
        text = metrics.render()
        start_response(
            "200 OK",
            [("Content-Type", "text/plain"), ("Content-Length", str(len(text)))],
        )
        return [text]

    return serve
