"""Stand-in for a model engine: OpenAI completions, and overload while cold."""

from __future__ import annotations

from typing import TYPE_CHECKING
from urllib.parse import urljoin

from lagoonsail_core.green import eventlet, urllib3
from lagoonsail_standins.backend import Backend
from lagoonsail_standins.backend_app import make_backend_app
from lagoonsail_standins.backend_options import SharedOptions, add_backend_options
from lagoonsail_standins.completions import Completions
from lagoonsail_standins.engine_reports import PromptCache, make_metrics_handler
from lagoonsail_standins.serving import Answer, answer_json, run, serve

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_standins.serving import Request

WEIGHTS_RETRY_INTERVAL_S = 0.2
"""Delay before the weights are requested again without a Retry-After, seconds."""


class Engine:
    """A model engine: its loaded model, completions, cache and reports."""

    __slots__ = (
        "_backend",
        "_load_ms",
        "_orders",
        "_weight_store",
        "adapters",
        "cache",
        "completions",
        "model",
        "role",
        "show_metrics",
        "version",
    )

    adapters: set[str]
    """Loaded adapters."""
    model: str
    """Model loaded by an order; empty for the one that the engine started with."""
    role: str
    """Role set by an order."""
    version: str
    """Version of `model`."""
    cache: PromptCache
    """Cached prompt prefixes."""
    completions: Completions
    """Handler of completion requests."""
    show_metrics: Callable[[Request], Answer]
    """Handler of `GET /metrics`."""

    def __init__(
        self,
        backend: Backend,
        token_ms: float = 5.0,
        first_ms: float = 20.0,
        report_lag_ms: float = 1000.0,
        is_resumable: bool = False,
        weight_store: str = "",
        load_ms: float = 200.0,
        prefill_ms: float = 0.0,
    ) -> None:
        self._backend = backend
        self._load_ms = load_ms
        self._weight_store = weight_store
        self._orders: list[dict] = []
        self.cache = PromptCache(backend.clock, report_lag_ms)
        self.completions = Completions(
            backend, self.cache, token_ms, first_ms, is_resumable, prefill_ms
        )
        self.show_metrics = make_metrics_handler(
            backend, report_lag_ms, self.cache.metric_values
        )
        self._clear_state()
        backend.on_restart = self._begin_incarnation

    def start(self) -> None:
        """Start loading the weights, if a weight store is set."""
        self._start_loading_weights()

    def _begin_incarnation(self) -> None:
        self.completions.clear()
        self.cache.clear()
        self._clear_state()
        self._start_loading_weights()

    def _clear_state(self) -> None:
        self.model = self.version = self.role = ""
        self.adapters = set()

    def _start_loading_weights(self) -> None:
        if not self._weight_store:
            return
        self._backend.is_loading = True
        eventlet.spawn(self._load_weights)

    def _load_weights(self) -> None:
        incarnation = self._backend.incarnation
        pool = urllib3.PoolManager(retries=False, timeout=30.0)
        while incarnation == self._backend.incarnation:
            wait_s = self._request_weights(pool)
            if wait_s is None:
                self._backend.is_loading = False
                return
            eventlet.sleep(wait_s)

    def _request_weights(self, pool: urllib3.PoolManager) -> float | None:
        try:
            answer = pool.request("GET", self._weight_store)
        except urllib3.exceptions.HTTPError:
            return WEIGHTS_RETRY_INTERVAL_S
        if answer.status == 200:
            return None
        return float(answer.headers.get("Retry-After", WEIGHTS_RETRY_INTERVAL_S))

    def apply_order(self, request: Request) -> Answer:
        """Apply an order of the fleet; applying an order again changes nothing.

        Args:
            request: Its body has `order`: `load` with `model` and `version`, or
                without them for the current weights; `load_adapter` or
                `unload_adapter` with `adapter`; `set_role` with `role`; or `evict`.

        Returns:
            The state; 412 for an order from an earlier owner, 409 while the engine
            is loading, 503 if the weight store does not answer, and its status and
            Retry-After, such as 429, if it refuses.
        """
        fields = request.json()
        refusal = self._backend.check_epoch(request)
        if refusal:
            return refusal
        order = fields.get("order")
        epoch = request.headers.get("x-lagoonsail-epoch", "")
        self._orders.append({**fields, "epoch": epoch})
        if order == "evict":
            self.cache.clear()
        elif order == "set_role":
            self.role = str(fields.get("role", ""))
        elif order == "unload_adapter":
            self.adapters.discard(str(fields.get("adapter", "")))
        elif order == "load_adapter":
            return self._load_adapter(str(fields.get("adapter", "")))
        elif order == "load" and fields.get("model"):
            return self._load_model(str(fields["model"]), str(fields.get("version")))
        elif order == "load":
            self._start_loading_weights()
        else:
            allowed = "load, load_adapter, unload_adapter, set_role or evict"
            return self._backend.refuse(400, f"order is {allowed}")
        return self.show_state(request)

    def show_state(self, _request: Request | None = None) -> Answer:
        """Return what the engine has loaded, and the orders that it received."""
        state = {
            "model": self.model,
            "version": self.version,
            "adapters": sorted(self.adapters),
            "role": self.role,
            "loading": self._backend.is_loading,
            "orders": self._orders,
        }
        return answer_json(state, headers=self._backend.headers())

    def _load_model(self, model: str, version: str) -> Answer:
        if (self.model, self.version) == (model, version):
            return self.show_state()

        def finish() -> None:
            self.model, self.version = model, version
            self.adapters.clear()
            self.cache.clear()
            self._backend.turn_cold()

        return self._load(f"{model}-{version}", finish)

    def _load_adapter(self, adapter: str) -> Answer:
        if adapter in self.adapters:
            return self.show_state()
        return self._load(f"{self.model}-{adapter}", lambda: self.adapters.add(adapter))

    def _load(self, name: str, finish: Callable[[], None]) -> Answer:
        """Fetch weights, and call `finish` when the loading time has passed."""
        if self._backend.is_loading:
            return self._backend.refuse(409, "weights are being loaded")
        self._backend.is_loading = True
        incarnation = self._backend.incarnation
        refusal = self._fetch_named_weights(name)
        if refusal:
            self._backend.is_loading = False
            return refusal

        def load() -> None:
            eventlet.sleep(self._load_ms / 1000.0)
            if incarnation != self._backend.incarnation:
                return
            finish()
            self._backend.is_loading = False

        eventlet.spawn(load)
        return self.show_state()

    def _fetch_named_weights(self, name: str) -> Answer | None:
        if not self._weight_store:
            return None
        url = urljoin(self._weight_store, name)
        try:
            answer = urllib3.request("GET", url, retries=False, timeout=30.0)
        except urllib3.exceptions.HTTPError:
            return self._backend.refuse(503, "the weight store does not answer")
        if answer.status == 200:
            return None
        refusal = self._backend.refuse(answer.status, f"the weight store: no {name}")
        if "Retry-After" in answer.headers:
            refusal.headers["Retry-After"] = answer.headers["Retry-After"]
        return refusal

    def show_events(self, request: Request) -> Answer:
        """Return the cache events after a sequence number."""
        self._backend.wait_while_silent()
        after = request.query.get("after", "0")
        events = self.cache.events_after(int(after) if after.isdecimal() else 0)
        value = {"incarnation": self._backend.incarnation, "events": events}
        return answer_json(value, headers=self._backend.headers())


def make_engine_app(backend: Backend, engine: Engine) -> Callable:
    """Return the application of a model engine.

    Args:
        backend: Runs and state of the server.
        engine: Handlers of the engine.

    Returns:
        The WSGI application.
    """
    routes = {
        ("POST", "/v1/completions"): engine.completions.complete,
        ("GET", "/metrics"): engine.show_metrics,
        ("GET", "/cache_events"): engine.show_events,
        ("POST", "/orders"): engine.apply_order,
        ("GET", "/orders"): engine.show_state,
    }
    return make_backend_app(backend, routes, engine.completions.cancel_or_resume)


def main(
    shared: SharedOptions,
    *,
    token_ms: float = 5.0,
    first_ms: float = 20.0,
    checks_fencing: bool = False,
    resumable: bool = False,
    weight_store: str = "",
    load_ms: float = 200.0,
    prefill_ms: float = 0.0,
) -> None:
    """Serve a model engine.

    Args:
        shared: Options that both backend stand-ins share.
        token_ms: Time for one token while warm, milliseconds.
        first_ms: Time until the first token while warm, milliseconds.
        checks_fencing: Refuse requests with an outdated epoch.
        resumable: Let broken completions be resumed.
        weight_store: URL of the weights, which are loaded before any request is
            answered; the weights of ordered models and adapters are siblings of it.
        load_ms: Time to load an ordered model or adapter, milliseconds.
        prefill_ms: Time for 1000 uncached characters of a prompt, milliseconds.
    """
    shared.backend.checks_fencing = checks_fencing
    backend = Backend(shared.backend)
    engine = Engine(
        backend,
        token_ms,
        first_ms,
        shared.report_lag_ms,
        resumable,
        weight_store,
        load_ms,
        prefill_ms,
    )
    engine.start()
    serve(make_engine_app(backend, engine), shared.port)


if __name__ == "__main__":
    run(add_backend_options(main, "engine", slots=8, warm_after=8))
