"""Pushing of accepted documents, and waiting until they are in force."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_ctl.admin_client import AdminClient
from lagoonsail_ctl.errors import CommandError, NotInForceError
from lagoonsail_ctl.fleet import Router, find_routers, query_routers

if TYPE_CHECKING:
    from lagoonsail_ctl.connection import Connection
    from lagoonsail_ctl.documents import StoredDocument
    from lagoonsail_ctl.report import Report

POLL_INTERVAL_S = 0.2
"""Interval between two polls of the routers that lag, in seconds."""


@dataclass(slots=True)
class LaggingRouter:
    """A router on which a revision is not in force yet."""

    router: Router
    """The router."""
    reason: str
    """Revisions that the router has, or why they are not known."""

    def as_dict(self) -> dict[str, str]:
        """Return the object for the JSON output."""
        return {"router": self.router.name, "reason": self.reason}


def push_documents(
    connection: Connection, documents: list[StoredDocument]
) -> dict[str, object]:
    """Send accepted documents to every router, on a best-effort basis.

    Routers also receive documents from the key-value service and from each other, so
    a router that does not answer here is no error.

    Args:
        connection: How to reach the routers.
        documents: Documents as stored in the key-value service.

    Returns:
        ``pushed``, the number of routers that accepted all documents, and
        ``not_pushed``, the reason by name of the other routers.
    """

    def push(client: AdminClient) -> None | Unavailable:
        for document in documents:
            result = client.post_document(
                document.key, document.revision, document.text
            )
            if isinstance(result, Unavailable):
                return result
        return None

    try:
        routers = find_routers(connection)
    except CommandError as error:
        return {"pushed": 0, "not_pushed": {"*": error.problem}}
    answers = query_routers(connection, routers, push)
    failures = {
        answer.router.name: answer.result.reason
        for answer in answers
        if isinstance(answer.result, Unavailable)
    }
    return {"pushed": len(answers) - len(failures), "not_pushed": failures}


def find_lagging(
    connection: Connection, routers: list[Router], revisions: dict[str, int]
) -> list[LaggingRouter]:
    """Return the routers on which some revision is not in force.

    Args:
        connection: How to reach the routers.
        routers: The routers to ask.
        revisions: Least revision by key.

    Returns:
        The routers that have an older revision or do not answer.
    """
    lagging = []
    for answer in query_routers(
        connection, routers, lambda client: client.get_status()
    ):
        if isinstance(answer.result, Unavailable):
            lagging.append(LaggingRouter(answer.router, answer.result.reason))
            continue
        held = answer.result.configuration
        behind = [
            f"{key} is at revision {held.get(key, '0, which is none')}"
            for key, revision in revisions.items()
            if held.get(key, 0) < revision
        ]
        if behind:
            lagging.append(LaggingRouter(answer.router, ", ".join(behind)))
    return lagging


def wait_in_force(
    connection: Connection, revisions: dict[str, int], timeout_s: float
) -> int:
    """Wait until revisions are in force on every router.

    Members are read again at each poll: a router that is gone is waited for until its
    lease has lapsed, and a new router is waited for too.

    Args:
        connection: How to reach the key-value service and the routers.
        revisions: Least revision by key.
        timeout_s: Longest time to wait in seconds.

    Returns:
        Number of routers.

    Raises:
        NotInForceError: If routers still lag after the timeout; lists them.
        StoreUnavailableError: If the members cannot be read.
    """
    deadline_ms = connection.clock.now_ms() + timeout_s * 1000.0
    confirmed: set[Router] = set()
    while True:
        routers = find_routers(connection)
        unconfirmed = [router for router in routers if router not in confirmed]
        lagging = find_lagging(connection, unconfirmed, revisions)
        lagging_routers = [item.router for item in lagging]
        confirmed |= {router for router in unconfirmed if router not in lagging_routers}
        if routers and not lagging:
            return len(routers)
        if connection.clock.now_ms() >= deadline_ms:
            raise _not_in_force_error(revisions, len(routers), lagging, timeout_s)
        eventlet.sleep(POLL_INTERVAL_S)


def add_wait(
    report: Report, connection: Connection, revisions: dict[str, int], wait_s: float
) -> Report:
    """Wait until the changes of a command are in force, and add that to its report.

    Args:
        report: Report of the command.
        connection: How to reach the key-value service and the routers.
        revisions: Least revision by key.
        wait_s: Longest time to wait in seconds; 0 to return at once.

    Returns:
        The same report, with the error if a change is not in force in time.
    """
    if wait_s <= 0:
        return report
    try:
        routers = wait_in_force(connection, revisions, wait_s)
    except CommandError as error:
        report.error = error
        return report
    report.data["in_force_on"] = routers
    report.lines.append(f"in force on all {routers} routers")
    return report


def _not_in_force_error(
    revisions: dict[str, int],
    routers: int,
    lagging: list[LaggingRouter],
    timeout_s: float,
) -> NotInForceError:
    expected = ", ".join(f"{key} {revision}" for key, revision in revisions.items())
    listing = [f"{item.router.name}: {item.reason}" for item in lagging]
    return NotInForceError(
        f"{expected} not seen in force after {timeout_s:g} s on {len(lagging)} of "
        f"{routers} routers",
        "wait longer, or check these routers with lagoonctl status",
        listing or ["no router is a member"],
        {"routers": routers, "lagging": [item.as_dict() for item in lagging]},
    )
