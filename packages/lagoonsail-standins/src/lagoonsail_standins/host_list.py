"""Stand-in for the platform's host list: Prometheus HTTP service discovery."""

from __future__ import annotations

from collections import Counter

from lagoonsail_core.clock import Clock
from lagoonsail_standins.serving import (
    Answer,
    MalformedRequestError,
    Request,
    answer_json,
    make_app,
    run,
    serve,
)

MAX_KEPT_VERSIONS = 1000
"""Number of published lists that are kept to answer with lag."""


class LaggingHosts:
    """A host list whose changes become visible to readers after a delay.

    Example:
        >>> hosts = LaggingHosts()
        >>> hosts.lag_ms = 100.0
        >>> hosts.publish([{"targets": ["127.0.0.1:1"]}], now_ms=50.0)
        >>> hosts.visible_at(149.0), hosts.visible_at(150.0)
        ([], [{'targets': ['127.0.0.1:1']}])
    """

    __slots__ = ("_versions", "lag_ms")

    lag_ms: float
    """Delay until readers see a change, milliseconds."""

    def __init__(self) -> None:
        self.lag_ms = 0.0
        self._versions: list[tuple[float, list[dict]]] = [(float("-inf"), [])]

    def publish(self, hosts: list[dict], now_ms: float) -> None:
        """Replace the list.

        Args:
            hosts: Target groups.
            now_ms: Monotonic time, milliseconds.
        """
        self._versions.append((now_ms, hosts))
        del self._versions[:-MAX_KEPT_VERSIONS]

    def visible_at(self, now_ms: float) -> list[dict]:
        """Return the list that readers see at a given time.

        Args:
            now_ms: Monotonic time, milliseconds.

        Returns:
            The newest list that is at least as old as the lag; the oldest kept list
            if there is none.
        """
        newest_ms = now_ms - self.lag_ms
        old_enough = [
            hosts for published_ms, hosts in self._versions if published_ms <= newest_ms
        ]
        return old_enough[-1] if old_enough else self._versions[0][1]


def main(*, port: int = 0) -> None:
    """Serve the host list until SIGTERM.

    Args:
        port: TCP port; 0 takes any free one.
    """
    clock = Clock()
    hosts = LaggingHosts()
    counts = Counter()

    def show_hosts(_request: Request) -> Answer:
        counts["reads"] += 1
        return answer_json(hosts.visible_at(clock.now_ms()))

    def set_control(request: Request) -> Answer:
        body = request.json()
        unknown = set(body) - {"hosts", "lag_ms"}
        if unknown or type(body.get("hosts", [])) is not list:
            raise MalformedRequestError(
                f"unknown control {sorted(body)}", "send hosts, a list, or lag_ms"
            )
        hosts.lag_ms = float(body.get("lag_ms", hosts.lag_ms))
        if "hosts" in body:
            hosts.publish(body["hosts"], clock.now_ms())
        return answer_json({"lag_ms": hosts.lag_ms})

    routes = {
        ("GET", "/hosts"): show_hosts,
        ("POST", "/_control"): set_control,
        ("GET", "/_record"): lambda _request: answer_json(counts),
    }
    serve(make_app(routes), port)


if __name__ == "__main__":
    run(main)
