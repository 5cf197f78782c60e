"""The routers of the fleet, and concurrent requests to them."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Generic, TypeVar

from lagoonsail_config.ini_keys import split_address
from lagoonsail_core.green import eventlet
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_ctl.admin_client import AdminClient
from lagoonsail_ctl.errors import NoRouterError, StoreUnavailableError
from lagoonsail_ctl.records import RecordError, decode_record

if TYPE_CHECKING:
    from collections.abc import Callable

    from lagoonsail_ctl.connection import Connection
    from lagoonsail_ctl.router_status import RouterStatus

T = TypeVar("T")

MAX_CONCURRENT_REQUESTS = 64
"""Most requests to routers at the same time."""

STORE_UNAVAILABLE_REMEDY = (
    "try again; with --routers, status, show and timeline work without it"
)
"""Remedy while the key-value service is unavailable."""


@dataclass(slots=True)
class Member:
    """A router's own entry in the key-value service."""

    router: str
    """Name of the router."""
    admin: str
    """Admin address, ip:port."""


@dataclass(frozen=True, slots=True)
class Router:
    """A router to send requests to."""

    name: str
    """Name, or the address if the name is not known."""
    address: str | Unavailable
    """Admin address, or why it is not known."""


@dataclass(slots=True)
class Answer(Generic[T]):
    """Outcome of a request to one router."""

    router: Router
    """Router that the request was for."""
    result: T | Unavailable
    """The decoded answer, or why there is none."""


def decode_member(text: str) -> Member | Unavailable:
    """Check and decode a member's entry.

    Args:
        text: JSON value of the key.

    Returns:
        The member, or what is wrong with the entry.
    """
    try:
        member = decode_record(Member, json.loads(text))
        split_address(member.admin)
    except (RecordError, ValueError, RecursionError) as error:
        return Unavailable(f"malformed entry ({error})")
    return member


def read_members(connection: Connection) -> dict[str, Member | Unavailable]:
    """Read the members from the key-value service.

    An empty entry marks a deleted member, as it does for the routers.

    Args:
        connection: How to reach the service.

    Returns:
        By name, the member or what is wrong with its entry.

    Raises:
        StoreUnavailableError: If the service does not answer.
    """
    prefix = f"{connection.prefix}members/"
    listing = connection.open_store().list(prefix)
    if isinstance(listing, Unavailable):
        raise StoreUnavailableError(listing.reason, STORE_UNAVAILABLE_REMEDY)
    return {
        entry.key.removeprefix(prefix): decode_member(entry.value)
        for entry in listing.entries
        if entry.value
    }


def find_routers(connection: Connection) -> list[Router]:
    """Return all routers of the fleet.

    Args:
        connection: Addresses of routers in it replace those of the members.

    Returns:
        The routers, including members with a malformed entry.

    Raises:
        StoreUnavailableError: If the members are needed and cannot be read.
    """
    if connection.routers:
        return [Router(address, address) for address in connection.routers]
    return [
        Router(name, member)
        if isinstance(member, Unavailable)
        else Router(name, member.admin)
        for name, member in read_members(connection).items()
    ]


def query_routers(
    connection: Connection,
    routers: list[Router],
    request: Callable[[AdminClient], T | Unavailable],
) -> list[Answer[T]]:
    """Send a request to each router, many at the same time.

    Args:
        connection: Supplies the key, the timeout and the clock.
        routers: The routers.
        request: Sends the request through the client of a router.

    Returns:
        One answer for each router, in the order given.
    """

    def query(router: Router) -> Answer[T]:
        if isinstance(router.address, Unavailable):
            return Answer(router, router.address)
        client = AdminClient(
            router.address,
            connection.shared_key,
            connection.timeout_ms,
            connection.clock,
        )
        return Answer(router, request(client))

    pool = eventlet.GreenPool(MAX_CONCURRENT_REQUESTS)
    return list(pool.imap(query, routers))


def query_statuses(
    connection: Connection,
) -> tuple[list[RouterStatus], dict[str, str]]:
    """Request the status of all routers.

    Args:
        connection: How to reach the key-value service and the routers.

    Returns:
        The statuses, and by name of router why there is no status of the others.

    Raises:
        StoreUnavailableError: If the members are needed and cannot be read.
    """
    routers = find_routers(connection)
    answers = query_routers(connection, routers, lambda client: client.get_status())
    statuses = []
    failures = {}
    for answer in answers:
        if isinstance(answer.result, Unavailable):
            failures[answer.router.name] = answer.result.reason
        else:
            statuses.append(answer.result)
    return statuses, failures


def no_answer_error(answered: object, failures: dict[str, str]) -> NoRouterError | None:
    """Return the error of a command if no router answered it, else None.

    Args:
        answered: Answers or their number; false if there are none.
        failures: By name of router, why it did not answer.
    """
    if answered:
        return None
    problem = f"none of {len(failures)} routers answered" if failures else "no routers"
    return NoRouterError(
        problem,
        "give the fleet's key with --key-file and the right addresses, or start the "
        "routers",
        details={"no_answer": failures},
    )
