"""Spreading accepted documents, and waiting until they are in force."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.green import eventlet
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_ctl.admin_client import AdminClient
from lagoonsail_ctl.errors import CommandError, NotInForceError
from lagoonsail_ctl.fleet import Router, ask_all, find_routers

if TYPE_CHECKING:
    from lagoonsail_ctl.connection import Connection
    from lagoonsail_ctl.documents import StoredDocument
    from lagoonsail_ctl.report import Report

POLL_INTERVAL_S = 0.2
"""Time between two looks at the routers that lag."""


@dataclass(slots=True)
class Lagging:
    """A router on which a revision is not in force yet."""

    router: Router
    """The router."""
    reason: str
    """Which revision it holds, or why that is not known."""

    def as_dict(self) -> dict[str, str]:
        """Return the fields for JSON."""
        return {"router": self.router.name, "reason": self.reason}


def push_documents(
    connection: Connection, documents: list[StoredDocument]
) -> dict[str, object]:
    """Hand accepted documents to every router, as well as that can be done.

    Routers learn of documents from the key-value service and from each other as well,
    so that a router that does not answer here is no error.

    Args:
        connection: How to reach the routers.
        documents: Documents as they stand in the key-value service.

    Returns:
        Number of routers that took all of them, and the reasons of the others.
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
    answers = ask_all(connection, routers, push)
    failures = {
        answer.router.name: answer.result.reason
        for answer in answers
        if isinstance(answer.result, Unavailable)
    }
    return {"pushed": len(answers) - len(failures), "not_pushed": failures}


def find_lagging(
    connection: Connection, routers: list[Router], revisions: dict[str, int]
) -> list[Lagging]:
    """Return the routers on which some revision is not in force.

    Args:
        connection: How to reach the routers.
        routers: The routers that are asked.
        revisions: Least revision by key.

    Returns:
        Those that hold an older revision or do not answer.
    """
    lagging = []
    for answer in ask_all(connection, routers, lambda client: client.get_status()):
        if isinstance(answer.result, Unavailable):
            lagging.append(Lagging(answer.router, answer.result.reason))
            continue
        held = answer.result.configuration
        behind = [
            f"{key} is at revision {held.get(key, '0, which is none')}"
            for key, revision in revisions.items()
            if held.get(key, 0) < revision
        ]
        if behind:
            lagging.append(Lagging(answer.router, ", ".join(behind)))
    return lagging


def wait_in_force(
    connection: Connection, revisions: dict[str, int], timeout_s: float
) -> int:
    """Wait until revisions are in force on every router.

    Members are read again at each look, so that a router that is gone is not waited
    for once its lease has lapsed, and a new one is.

    Args:
        connection: How to reach the key-value service and the routers.
        revisions: Least revision by key.
        timeout_s: Longest time to wait in seconds.

    Returns:
        Number of routers.

    Raises:
        NotInForceError: With the routers that lag when the time is over.
        StoreUnavailableError: If the members cannot be read.
    """
    deadline_ms = connection.clock.now_ms() + timeout_s * 1000.0
    confirmed: set[Router] = set()
    while True:
        routers = find_routers(connection)
        asked = [router for router in routers if router not in confirmed]
        lagging = find_lagging(connection, asked, revisions)
        late = [item.router for item in lagging]
        confirmed |= {router for router in asked if router not in late}
        if routers and not lagging:
            return len(routers)
        if connection.clock.now_ms() >= deadline_ms:
            raise _not_in_force(revisions, len(routers), lagging, timeout_s)
        eventlet.sleep(POLL_INTERVAL_S)


def add_wait(
    report: Report, connection: Connection, revisions: dict[str, int], wait_s: float
) -> Report:
    """Wait until what a command changed is in force, and add that to its report.

    Args:
        report: What the command did.
        connection: How to reach the key-value service and the routers.
        revisions: Least revision by key.
        wait_s: Longest time to wait in seconds; 0 for not at all.

    Returns:
        The same report, with the error if it is not in force in time.
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


def _not_in_force(
    revisions: dict[str, int], routers: int, lagging: list[Lagging], timeout_s: float
) -> NotInForceError:
    wanted = ", ".join(f"{key} {revision}" for key, revision in revisions.items())
    listing = [f"{item.router.name}: {item.reason}" for item in lagging]
    return NotInForceError(
        f"{wanted} not seen in force after {timeout_s:g} s on {len(lagging)} of "
        f"{routers} routers",
        "wait longer, or look at these routers with lagoonctl status",
        listing or ["no router is a member"],
        {"routers": routers, "lagging": [item.as_dict() for item in lagging]},
    )
