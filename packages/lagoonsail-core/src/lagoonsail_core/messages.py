"""The messages that routers exchange, and their encoding.

A frame is one write on a stream between two routers: a logical time and a list of
messages. Each message is a list that begins with its tag. Decoding checks every
field, since a frame may come from a faulty or hostile peer.
"""

from __future__ import annotations

from dataclasses import dataclass, fields

import msgpack

from lagoonsail_core.errors import LagoonsailError
from lagoonsail_core.field_checks import make_checks
from lagoonsail_core.key_messages import KeysNoted, KeysNotice, KeysWrite, KeysWritten
from lagoonsail_core.right_messages import (
    PromiseRequest,
    PromiseResult,
    RenewRequest,
    RenewResult,
)

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Largest frame that is accepted."""


class FrameError(LagoonsailError):
    """A frame that is not well formed."""

    def __init__(self, problem: str) -> None:
        super().__init__(problem, "run the same version of lagoonsail on both routers")


@dataclass(slots=True)
class Hello:
    """First message of each side of a stream."""

    router: str
    """Name of the sender."""
    incarnation: int
    """Number that differs for each start of the sender."""
    region: str
    """Region of the sender."""
    sent_ms: float
    """Sender's monotonic time."""


@dataclass(slots=True)
class Heartbeat:
    """Sent on every stream at each heartbeat interval, in both directions."""

    sent_ms: float
    """Sender's monotonic time."""
    config_digest: int
    """Hash over the sender's keys and revisions of configuration."""


@dataclass(slots=True)
class ConfigOffer:
    """The revisions that the sender holds; an answer to a differing digest."""

    revisions: dict[str, int]
    """Revision by key."""


@dataclass(slots=True)
class ConfigPush:
    """Entries of configuration that the receiver lacks."""

    entries: list[list]
    """Triples of key, revision and value; an empty value is a deletion."""


@dataclass(slots=True)
class SlotRequest:
    """Asks the owner of a shard for a slot on one of its backend servers."""

    ticket: int
    """Number of the request, unique for the sender's incarnation."""
    shard: str
    """The shard that is asked."""
    account: str
    """Client account, unqualified."""
    estimate: float
    """Expected cost in the service's unit; 0 where there is no hint."""
    prefix: list[int]
    """Hashes of the prompt's prefixes, shortest first; empty for plain services."""
    key: int
    """Hash of the idempotency key of a call that may not be repeated, else 0."""
    call: int
    """Number of the call at the sender; the same for each ticket of one call."""
    age_ms: float
    """How long the request has waited at the sender already."""


@dataclass(slots=True)
class SlotCancel:
    """Withdraws a slot request that has not been granted."""

    ticket: int
    """Ticket of the request."""


@dataclass(slots=True)
class SlotGrant:
    """Gives a slot on a backend server; valid only until its start deadline."""

    ticket: int
    """Ticket of the request that is granted."""
    slot: int
    """Number of the slot, unique in the epoch."""
    shard: str
    """Shard of the server."""
    epoch: int
    """Fencing number of the owner; grows with each change of owner."""
    server: str
    """Name of the backend server, unqualified."""
    basis_ms: float
    """Receiver's own monotonic time from which the start window counts."""


@dataclass(slots=True)
class SlotRefusal:
    """Says that a slot request will not be granted."""

    ticket: int
    """Ticket of the request."""
    reason: str
    """One of the REFUSED constants."""


@dataclass(slots=True)
class SlotStart:
    """Says that the request was sent to the backend server."""

    shard: str
    """Shard of the server."""
    epoch: int
    """Epoch of the grant."""
    slot: int
    """Slot number."""


@dataclass(slots=True)
class SlotProgress:
    """Cost of a running request so far."""

    shard: str
    """Shard of the server."""
    epoch: int
    """Epoch of the grant."""
    slot: int
    """Slot number."""
    cost: float
    """Cost so far, in the service's unit."""


@dataclass(slots=True)
class SlotDone:
    """Gives a slot back."""

    shard: str
    """Shard of the server."""
    epoch: int
    """Epoch of the grant."""
    slot: int
    """Slot number."""
    outcome: str
    """One of the OUTCOME constants."""
    cost: float
    """Whole cost in the service's unit."""
    server_incarnation: str
    """Incarnation that the server reported, empty if it reported none."""
    first_ms: float
    """Time from sending until the first byte of the answer."""
    duration_ms: float
    """Time from sending until the end."""


@dataclass(slots=True)
class Inventory:
    """What the sender runs on a shard; begins its dealings with the shard's owner."""

    shard: str
    """The shard."""
    running: list[list]
    """Epoch, slot, server, account, cost and age_ms of each slot that it holds."""


@dataclass(slots=True)
class InventoryTaken:
    """Answers an inventory: the sender may now be asked for slots, or not."""

    shard: str
    """The shard."""
    epoch: int
    """Epoch of the owner, 0 if the sender does not own the shard."""


@dataclass(slots=True)
class ServiceDigest:
    """What the successors of a shard's owner must know to go on in its place."""

    shard: str
    """The shard."""
    epoch: int
    """Epoch of the owner."""
    sequence: int
    """Grows with each digest of the epoch."""
    service: dict[str, float]
    """Normalised service of the accounts for which it changed."""
    positions: dict[str, float]
    """Where those accounts stand in the queue."""
    servers: dict[str, list]
    """Incarnation, limit and warmth by server, where they changed."""


REFUSED_NOT_OWNER = "not_owner"
"""The receiver of the slot request does not own the shard now."""
REFUSED_QUEUE_FULL = "queue_full"
"""The account has too many requests waiting at the owner."""
REFUSED_ACCOUNT = "account_removed"
"""The account is not in the service document any more."""
REFUSED_DUPLICATE = "duplicate_key"
"""A call with the same idempotency key has been sent before."""
REFUSED_KEYS_UNAVAILABLE = "keys_unavailable"
"""The key-value service cannot record the idempotency key now."""

OUTCOME_WHOLE = "whole"
"""The answer arrived whole."""
OUTCOME_NOT_RUN = "not_run"
"""No byte of the request reached the server."""
OUTCOME_UNREACHABLE = "unreachable"
"""The server could not be connected to, so no byte of the request reached it."""
OUTCOME_REFUSED = "refused"
"""The server refused the request without running it."""
OUTCOME_BROKEN = "broken"
"""The answer broke off or never came."""
OUTCOME_CANCELLED = "cancelled"
"""The caller went away."""

_TAGS: dict[str, type] = {
    "hello": Hello,
    "beat": Heartbeat,
    "offer": ConfigOffer,
    "push": ConfigPush,
    "ask": SlotRequest,
    "cancel": SlotCancel,
    "grant": SlotGrant,
    "refuse": SlotRefusal,
    "start": SlotStart,
    "cost": SlotProgress,
    "done": SlotDone,
    "inv": Inventory,
    "taken": InventoryTaken,
    "digest": ServiceDigest,
    "keys": KeysNotice,
    "noted": KeysNoted,
    "write": KeysWrite,
    "written": KeysWritten,
    "renew": RenewRequest,
    "renewed": RenewResult,
    "promise": PromiseRequest,
    "promised": PromiseResult,
}
_UNICODE_ERRORS = "surrogateescape"
_TAG_OF = {kind: tag for tag, kind in _TAGS.items()}
_FIELDS = {kind: tuple(f.name for f in fields(kind)) for kind in _TAG_OF}


def encode_frame(logical: int, messages: list) -> bytes:
    """Encode messages for one write on a stream.

    Args:
        logical: The sender's logical time.
        messages: Instances of the message classes of this module.

    Returns:
        The frame.

    Example:
        >>> decode_frame(encode_frame(3, [SlotCancel(7)]))
        (3, [SlotCancel(ticket=7)])
    """
    body = [
        [_TAG_OF[type(item)], *(getattr(item, name) for name in _FIELDS[type(item)])]
        for item in messages
    ]
    # Documents may hold bytes that are not UTF-8, as surrogate escapes.
    return msgpack.packb([logical, body], unicode_errors=_UNICODE_ERRORS)


_CHECKS = {kind: make_checks(kind) for kind in _TAG_OF}


def _decode_message(item: object) -> object:
    if type(item) is not list or not item or type(item[0]) is not str:
        raise FrameError("message without a tag")
    kind = _TAGS.get(item[0])
    if kind is None:
        raise FrameError(f"unknown message tag {item[0][:20]!r}")
    checks = _CHECKS[kind]
    if len(item) != len(checks) + 1:
        raise FrameError(f"{kind.__name__} with {len(item) - 1} fields")
    for (name, check), value in zip(checks, item[1:], strict=True):
        if not check(value):
            raise FrameError(f"{kind.__name__}.{name} has an unexpected type")
    return kind(*item[1:])


def decode_frame(data: bytes) -> tuple[int, list]:
    """Decode one frame.

    Args:
        data: The bytes of a frame.

    Returns:
        The sender's logical time and the messages.

    Raises:
        FrameError: If the frame is oversized or malformed.
    """
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError(f"frame of {len(data)} bytes, at most {MAX_FRAME_BYTES}")
    try:
        frame = msgpack.unpackb(
            data, strict_map_key=False, unicode_errors=_UNICODE_ERRORS
        )
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        # A map with a list as key raises TypeError.
        raise FrameError(f"frame that is not msgpack ({error})") from error
    if type(frame) is not list or len(frame) != 2:
        raise FrameError("frame that is not a pair")
    logical, items = frame
    if type(logical) is not int or not 0 <= logical < 2**62:
        raise FrameError("frame without a logical time")
    if type(items) is not list:
        raise FrameError("frame without a list of messages")
    return logical, [_decode_message(item) for item in items]
