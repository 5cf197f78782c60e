"""Client of the platform's host list, which lags behind the hosts."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from lagoonsail_core.unavailable import Unavailable
from lagoonsail_store.exchange import ExchangeFailure, exchange, open_pool

if TYPE_CHECKING:
    from lagoonsail_core.clock import Clock

STATES = ("live", "leaving")
"""Accepted values of `Host.state`."""


@dataclass(slots=True)
class Host:
    """One target of the host list: a host or a service on it."""

    name: str
    """Name of the host."""
    address: str
    """`ip:port`."""
    state: str
    """One of STATES."""
    labels: dict[str, str]
    """All labels, including those with their own field."""


def _require(holds: bool, problem: str) -> None:
    if not holds:
        raise ValueError(problem)


def _read_group(group: dict) -> list[Host]:
    """Parse one target group.

    Raises:
        ValueError: If the group is malformed.
    """
    _require(type(group) is dict, "target group is not an object")
    targets, labels = group.get("targets"), group.get("labels", {})
    _require(type(targets) is list, "target group without a list of targets")
    _require(type(labels) is dict, "labels are not an object")
    name, state = labels.get("name"), labels.get("state", "live")
    _require(
        type(name) is str and name != "", f"targets {targets!r:.80} without a name"
    )
    _require(state in STATES, f"host {name!r:.80} with state {state!r:.80}")
    _require(
        all(type(target) is str for target in targets),
        f"targets of {name!r:.80} are not all strings",
    )
    return [Host(name, target, state, labels) for target in targets]


def parse_hosts(data: bytes) -> list[Host]:
    """Parse an answer of Prometheus HTTP service discovery.

    One malformed group makes the whole answer malformed: an omitted host would look
    like a removed one.

    Args:
        data: Body of the answer.

    Returns:
        The hosts in the order of the answer.

    Raises:
        ValueError: If the answer is malformed; the message names the part.

    Example:
        >>> parse_hosts(b'[{"targets":["10.0.0.1:1"],"labels":{"name":"a"}}]')[0].name
        'a'
    """
    try:
        groups = json.loads(data)
    except RecursionError as error:
        raise ValueError("answer is nested too deep") from error
    _require(type(groups) is list, "answer is not a list")
    return [host for group in groups for host in _read_group(group)]


class HostList:
    """The platform's host list with the time of the last successful read.

    The list is an old view of the platform: a host that is missing or leaving may have
    been gone for long, and a live one may be dead.
    """

    __slots__ = (
        "_clock",
        "_path",
        "_pool",
        "_timeout_ms",
        "counters",
        "hosts",
        "read_at_ms",
    )

    counters: Counter
    """Reads by `(kind, result)`; body bytes under `("bytes", "in")`."""
    hosts: list[Host] | Unavailable
    """The last list that was read successfully."""
    read_at_ms: float
    """Monotonic start time of that read in ms; minus infinity before the first."""

    def __init__(self, url: str, timeout_ms: float, clock: Clock) -> None:
        parts = urlsplit(url)
        self.counters = Counter()
        self.hosts = Unavailable("the host list has not been read yet")
        self.read_at_ms = float("-inf")
        self._pool = open_pool(f"{parts.hostname}:{parts.port or 80}")
        self._path = parts.path + (f"?{parts.query}" if parts.query else "")
        self._timeout_ms = timeout_ms
        self._clock = clock

    def read(self) -> list[Host] | Unavailable:
        """Read the list.

        Returns:
            The hosts, or why the read failed; `hosts` keeps the last list then.
        """
        started_ms = self._clock.now_ms()
        hosts = self._fetch()
        if isinstance(hosts, Unavailable):
            self.counters["read", "unavailable"] += 1
            return hosts
        self.counters["read", "ok"] += 1
        self.hosts = hosts
        self.read_at_ms = started_ms
        return hosts

    def age_ms(self) -> float:
        """Return the time since the last successful read, in milliseconds.

        The lag of the platform is not included. Infinite before the first read.
        """
        return self._clock.now_ms() - self.read_at_ms

    def _fetch(self) -> list[Host] | Unavailable:
        reply = exchange(self._pool, "GET", self._path, None, self._timeout_ms)
        if isinstance(reply, ExchangeFailure):
            return Unavailable(f"host list: {reply.reason}")
        self.counters["bytes", "in"] += len(reply.body)
        if reply.status != 200:
            return Unavailable(f"host list: answered with status {reply.status}")
        try:
            return parse_hosts(reply.body)
        except ValueError as error:
            return Unavailable(f"host list: malformed, {error}")
