"""Stand-in for a plain service: runs and echoes every request, also repeated ones."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from lagoonsail_standins.backend import Backend
from lagoonsail_standins.backend_app import make_backend_app, send_body
from lagoonsail_standins.backend_options import SharedOptions, add_backend_options
from lagoonsail_standins.engine_reports import make_metrics_handler
from lagoonsail_standins.serving import Answer, run, serve

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_standins.serving import Request


def _read_work_ms(body: bytes, default_ms: float) -> float:
    try:
        value = json.loads(body)
    except ValueError:
        return default_ms
    if not isinstance(value, dict):
        return default_ms
    work_ms = value.get("work_ms", default_ms)
    return float(work_ms) if isinstance(work_ms, int | float) else default_ms


def make_plain_app(
    backend: Backend, name: str, work_ms: float, report_lag_ms: float
) -> Callable:
    """Return the application of a plain service.

    Args:
        backend: Runs and state of the server.
        name: Name of the server, returned in the answers.
        work_ms: Work time of a request whose body has no `work_ms`, milliseconds.
        report_lag_ms: Delay of the load report, milliseconds.

    Returns:
        The WSGI application.
    """

    def answer(request: Request) -> Answer:
        admitted = backend.admit(request)
        if isinstance(admitted, Answer):
            return admitted
        run_number = len(backend.runs)
        request_work_ms = _read_work_ms(request.body, work_ms)

        def work() -> None:
            start_ms = backend.clock.now_ms()
            backend.simulate_work(admitted, request_work_ms + backend.late_ms)
            admitted.cost = backend.clock.now_ms() - start_ms

        body = json.dumps(
            {
                "server": name,
                "run": run_number,
                "echo": admitted.body_sha256,
                "request_id": admitted.request_id,
                "path": request.path,
            }
        ).encode()
        headers = {
            **backend.headers(),
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
        }
        sent_body = b"" if request.method == "HEAD" else body
        return Answer(200, send_body(backend, admitted, work, body, sent_body), headers)

    routes = {("GET", "/metrics"): make_metrics_handler(backend, report_lag_ms)}
    return make_backend_app(backend, routes, answer)


def main(
    shared: SharedOptions,
    *,
    work_ms: float = 10.0,
) -> None:
    """Serve a plain service.

    Args:
        shared: Options that both backend stand-ins share.
        work_ms: Work time of a request whose body has no `work_ms`, milliseconds.
    """
    options = shared.backend
    app = make_plain_app(Backend(options), options.name, work_ms, shared.report_lag_ms)
    serve(app, shared.port)


if __name__ == "__main__":
    run(add_backend_options(main, "plain", slots=4, warm_after=4))
