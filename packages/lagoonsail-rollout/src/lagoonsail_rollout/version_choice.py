"""Which versions of a service a request may use, given the phase of its roll-out.

Without an order for it a version that is not in service gets no request. A rolled-back
version never gets one. A version in service without any server left is replaced by what
else there is, as an answer is better than none.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeVar

from lagoonsail_rollout.phases import COMPLETED, FULL, is_final

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

Value = TypeVar("Value")


@dataclass(slots=True, frozen=True)
class VersionRule:
    """Phase of a roll-out as one router sees it."""

    target: str
    """Version that the order names."""
    in_service: frozenset[str]
    """Versions in service when the order came; empty if they are not known."""
    phase: str
    """One of `PHASES`."""
    is_stopped: bool = False
    """Whether this router sends nothing to the target: it has seen evidence against it,
    or the order is withdrawn."""


def in_service_after(rule: VersionRule) -> frozenset[str]:
    """Return the versions that are in service if no order follows.

    Args:
        rule: The rule of the last order.
    """
    return frozenset([rule.target]) if rule.phase == COMPLETED else rule.in_service


def choose_servers(
    rule: VersionRule,
    servers: Sequence[Value],
    version_of: Callable[[Value], str],
    is_open: Callable[[Value], bool],
    is_trial: Callable[[Value], bool] | None,
) -> Sequence[Value]:
    """Return the servers that a request may use.

    Args:
        rule: The phase of the roll-out.
        servers: The servers that the request could use without it.
        version_of: Returns the version of a server.
        is_open: Returns whether a server can take a request now.
        is_trial: Returns whether a server is one of the canary's, if the request is
        sent to the new version as a trial; None if it is not.

    Example:
        >>> from lagoonsail_rollout.phases import CANARY
        >>> rule = VersionRule("v2", frozenset(["v1"]), CANARY)
        >>> servers = ["a.v1", "b.v2", "c.v3"]
        >>> version_of = lambda name: name[2:]
        >>> choose_servers(rule, servers, version_of, bool, None)
        ['a.v1']
        >>> choose_servers(rule, servers, version_of, bool, bool)
        ['b.v2']
    """
    new = [server for server in servers if version_of(server) == rule.target]
    old = _old_servers(rule, servers, version_of)
    if rule.phase == COMPLETED:
        return new or old
    if rule.is_stopped or is_final(rule.phase):
        return old
    if rule.phase == FULL:
        return new if any(map(is_open, new)) else old or new
    if is_trial is not None:
        trial = [server for server in new if is_trial(server) and is_open(server)]
        if trial:
            return trial
    # Without any old server the service has only the new ones.
    return old or new


def _old_servers(
    rule: VersionRule, servers: Sequence[Value], version_of: Callable[[Value], str]
) -> Sequence[Value]:
    others = [server for server in servers if version_of(server) != rule.target]
    if rule.target in rule.in_service:
        others = list(servers)
    known = [server for server in others if version_of(server) in rule.in_service]
    return known or others
