"""The routers of the fleet and how to ask all of them."""

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

MAX_REQUESTS_AT_ONCE = 64
"""Routers that are asked at the same time."""

STORE_REMEDY = "try again; status, show and timeline work without it with --routers"
"""What to do while the key-value service is away."""


@dataclass(slots=True)
class Member:
    """A router as it entered itself in the key-value service."""

    router: str
    """Name."""
    admin: str
    """Address for operators."""


@dataclass(frozen=True, slots=True)
class Router:
    """A router that is to be asked."""

    name: str
    """Its name, or its address if the name is not known."""
    address: str | Unavailable
    """Admin address, or why it is not known."""


@dataclass(slots=True)
class Answer(Generic[T]):
    """What one router answered."""

    router: Router
    """The router that was asked."""
    result: T | Unavailable
    """The answer, or why there is none."""


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

    An empty entry is a deletion, as it is for the routers.

    Args:
        connection: How to reach the service.

    Returns:
        Member, or what is wrong with its entry, by name.

    Raises:
        StoreUnavailableError: If the service does not answer.
    """
    prefix = f"{connection.prefix}members/"
    listing = connection.open_store().list(prefix)
    if isinstance(listing, Unavailable):
        raise StoreUnavailableError(listing.reason, STORE_REMEDY)
    return {
        entry.key.removeprefix(prefix): decode_member(entry.value)
        for entry in listing.entries
        if entry.value
    }


def find_routers(connection: Connection) -> list[Router]:
    """Return every router that is to be asked.

    Args:
        connection: Addresses that were given go before those of the members.

    Returns:
        The routers; a member with a malformed entry is among them.

    Raises:
        StoreUnavailableError: If the members are wanted and cannot be read.
    """
    if connection.routers:
        return [Router(address, address) for address in connection.routers]
    return [
        Router(name, member)
        if isinstance(member, Unavailable)
        else Router(name, member.admin)
        for name, member in read_members(connection).items()
    ]


def ask_all(
    connection: Connection,
    routers: list[Router],
    request: Callable[[AdminClient], T | Unavailable],
) -> list[Answer[T]]:
    """Ask many routers at once.

    Args:
        connection: Key and time limit.
        routers: The routers.
        request: Makes the request with a router's client.

    Returns:
        One answer for each router, in the order given.
    """

    def ask(router: Router) -> Answer[T]:
        if isinstance(router.address, Unavailable):
            return Answer(router, router.address)
        client = AdminClient(
            router.address,
            connection.shared_key,
            connection.timeout_ms,
            connection.clock,
        )
        return Answer(router, request(client))

    pool = eventlet.GreenPool(MAX_REQUESTS_AT_ONCE)
    return list(pool.imap(ask, routers))


def ask_statuses(
    connection: Connection,
) -> tuple[list[RouterStatus], dict[str, str]]:
    """Ask all routers for their status.

    Args:
        connection: How to reach the key-value service and the routers.

    Returns:
        The statuses, and by router why others gave none.

    Raises:
        StoreUnavailableError: If the members are wanted and cannot be read.
    """
    routers = find_routers(connection)
    answers = ask_all(connection, routers, lambda client: client.get_status())
    statuses = []
    silent = {}
    for answer in answers:
        if isinstance(answer.result, Unavailable):
            silent[answer.router.name] = answer.result.reason
        else:
            statuses.append(answer.result)
    return statuses, silent


def no_answer_error(answered: object, silent: dict[str, str]) -> NoRouterError | None:
    """Return the error of a command that no router answered, or None.

    Args:
        answered: What the routers that answered gave; false if none did.
        silent: By router, why it did not answer.
    """
    if answered:
        return None
    problem = f"none of {len(silent)} routers answered" if silent else "no routers"
    return NoRouterError(
        problem,
        "give the fleet's key with --key-file and the right addresses, or start the "
        "routers",
        details={"no_answer": silent},
    )
