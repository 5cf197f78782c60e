"""Client of the platform's host list, which may be out of date."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

from lagoonsail_core.unavailable import Unavailable
from lagoonsail_store.exchange import Lost, exchange, open_pool

if TYPE_CHECKING:
    from lagoonsail_core.clock import Clock

STATES = ("live", "leaving")
"""Accepted values of `Host.state`."""


@dataclass(slots=True)
class Host:
    """One host, or one service on it, of the host list."""

    name: str
    """Name of the host."""
    address: str
    """`ip:port`."""
    state: str
    """One of STATES."""
    labels: dict[str, str]
    """All labels, also those that have a field of their own."""


def _check(holds: bool, problem: str) -> None:
    if not holds:
        raise ValueError(problem)


def _read_group(group: dict) -> list[Host]:
    """Return the hosts of one target group.

    Raises:
        ValueError: If the group is malformed.
    """
    _check(type(group) is dict, "target group that is no object")
    targets, labels = group.get("targets"), group.get("labels", {})
    _check(type(targets) is list, "target group without a list of targets")
    _check(type(labels) is dict, "labels that are no object")
    name, state = labels.get("name"), labels.get("state", "live")
    _check(type(name) is str and name != "", f"targets {targets!r:.80} without a name")
    _check(state in STATES, f"host {name!r:.80} with state {state!r:.80}")
    _check(all(type(target) is str for target in targets), f"targets of {name!r:.80}")
    return [Host(name, target, state, labels) for target in targets]


def parse_hosts(data: bytes) -> list[Host]:
    """Return the hosts of a Prometheus HTTP service discovery answer.

    One malformed group makes the whole answer malformed: a host that is left out would
    look as if it had gone.

    Args:
        data: Body of the answer.

    Returns:
        The hosts in the order of the answer.

    Raises:
        ValueError: If the answer is malformed; says where.

    Example:
        >>> parse_hosts(b'[{"targets":["10.0.0.1:1"],"labels":{"name":"a"}}]')[0].name
        'a'
    """
    try:
        groups = json.loads(data)
    except RecursionError as error:
        raise ValueError("answer that is nested too deep") from error
    _check(type(groups) is list, "answer that is no list")
    return [host for group in groups for host in _read_group(group)]


class HostList:
    """The platform's host list, and when it was last read.

    The list tells what the platform believed some time ago: a host that is missing or
    leaving may be gone for long, and a live one may be dead.
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
    """Reads by `(kind, result)`, and `("bytes", "in")` of bodies."""
    hosts: list[Host] | Unavailable
    """The last list that was read whole."""
    read_at_ms: float
    """Monotonic time at which that read began; minus infinity before the first."""

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
            The hosts, or why they cannot be had now; `hosts` keeps the last list then.
        """
        began_ms = self._clock.now_ms()
        hosts = self._read_now()
        if isinstance(hosts, Unavailable):
            self.counters["read", "unavailable"] += 1
            return hosts
        self.counters["read", "ok"] += 1
        self.hosts = hosts
        self.read_at_ms = began_ms
        return hosts

    def age_ms(self) -> float:
        """Return how long ago the kept list was read, in milliseconds.

        The lag of the platform comes on top of it. Infinite before the first read.
        """
        return self._clock.now_ms() - self.read_at_ms

    def _read_now(self) -> list[Host] | Unavailable:
        reply = exchange(self._pool, "GET", self._path, None, self._timeout_ms)
        if isinstance(reply, Lost):
            return Unavailable(f"host list: {reply.reason}")
        self.counters["bytes", "in"] += len(reply.body)
        if reply.status != 200:
            return Unavailable(f"host list: answered with status {reply.status}")
        try:
            return parse_hosts(reply.body)
        except ValueError as error:
            return Unavailable(f"host list: malformed, {error}")
