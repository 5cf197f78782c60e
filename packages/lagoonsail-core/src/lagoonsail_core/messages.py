"""Messages between routers and their encoding.

A frame is one write on a stream between two routers: a logical time and a list of
messages. A message is a list of its tag and its fields, in the order of the class.
Decoding checks every field, since a frame may come from a faulty or hostile peer.
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
"""Largest accepted frame."""


class FrameError(LagoonsailError):
    """A malformed or oversized frame."""

    def __init__(self, problem: str) -> None:
        super().__init__(problem, "run the same version of lagoonsail on both routers")


@dataclass(slots=True)
class Hello:
    """First message in each direction of a stream."""

    router: str
    """Name of the sender."""
    incarnation: int
    """Number that differs between starts of the sender."""
    region: str
    """Region of the sender."""
    sent_ms: float
    """Sender's monotonic time in milliseconds."""


@dataclass(slots=True)
class Heartbeat:
    """Sent once per heartbeat interval, in each direction of a stream."""

    sent_ms: float
    """Sender's monotonic time in milliseconds."""
    config_digest: int
    """Hash of the keys and revisions of the sender's configuration."""


@dataclass(slots=True)
class ConfigOffer:
    """Revisions that the sender holds; sent when the configuration digests differ."""

    revisions: dict[str, int]
    """Revision by key."""


@dataclass(slots=True)
class ConfigPush:
    """Configuration entries that the receiver lacks."""

    entries: list[list]
    """Triples of key, revision and value; an empty value marks a deletion."""


@dataclass(slots=True)
class SlotRequest:
    """Asks the owner of a shard for a slot on one of its backend servers."""

    ticket: int
    """Number of the request, unique within the sender's incarnation."""
    shard: str
    """Shard whose owner is asked."""
    account: str
    """Client account, unqualified."""
    estimate: float
    """Estimated cost in the service's unit; 0 without a cost hint."""
    prefix: list[int]
    """Hashes of the prompt's prefixes, shortest first; empty for plain services."""
    key: int
    """Hash of the idempotency key of a call that must not be repeated, else 0."""
    call: int
    """Number of the call at the sender, shared by all tickets of the call."""
    age_ms: float
    """Time that the request has waited at the sender so far."""


@dataclass(slots=True)
class SlotCancel:
    """Withdraws a slot request that is not granted yet."""

    ticket: int
    """Ticket of the request."""


@dataclass(slots=True)
class SlotGrant:
    """Grants a slot on a backend server, valid only until the start window ends."""

    ticket: int
    """Ticket of the granted request."""
    slot: int
    """Number of the slot, unique within the epoch."""
    shard: str
    """Shard of the server."""
    epoch: int
    """Fencing token of the owner; increases with each change of owner."""
    server: str
    """Name of the backend server, unqualified."""
    basis_ms: float
    """Start of the start window, in the receiver's own monotonic time."""


@dataclass(slots=True)
class SlotRefusal:
    """Refuses a slot request."""

    ticket: int
    """Ticket of the request."""
    reason: str
    """One of the REFUSED constants."""


@dataclass(slots=True)
class SlotStart:
    """Reports that the request was sent to the backend server."""

    shard: str
    """Shard of the server."""
    epoch: int
    """Epoch of the grant."""
    slot: int
    """Slot number."""


@dataclass(slots=True)
class SlotProgress:
    """Reports the cost of a running request so far."""

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
    """Releases a slot and reports the outcome of its request."""

    shard: str
    """Shard of the server."""
    epoch: int
    """Epoch of the grant."""
    slot: int
    """Slot number."""
    outcome: str
    """One of the OUTCOME constants."""
    cost: float
    """Total cost in the service's unit."""
    server_incarnation: str
    """Incarnation that the server reported; empty if it reported none."""
    first_ms: float
    """Time from sending the request to the first byte of the answer."""
    duration_ms: float
    """Time from sending the request to its end."""


@dataclass(slots=True)
class Inventory:
    """Slots that the sender holds on a shard; sent before it requests slots."""

    shard: str
    """The shard."""
    running: list[list]
    """Epoch, slot, server, account, cost and age_ms of each held slot."""


@dataclass(slots=True)
class InventoryTaken:
    """Answer to an Inventory; says whether the sender accepts slot requests."""

    shard: str
    """The shard."""
    epoch: int
    """Epoch of the owner, 0 if the sender does not own the shard."""


@dataclass(slots=True)
class ServiceDigest:
    """State of a shard that the successors of its owner need to take over."""

    shard: str
    """The shard."""
    epoch: int
    """Epoch of the owner."""
    sequence: int
    """Number of the digest, increasing within the epoch."""
    service: dict[str, float]
    """Normalised service by account, where it changed."""
    positions: dict[str, float]
    """Positions of those accounts in the queue."""
    servers: dict[str, list]
    """Incarnation, limit and warm state by server, where they changed."""


REFUSED_NOT_OWNER = "not_owner"
"""The receiver of the slot request does not own the shard."""
REFUSED_QUEUE_FULL = "queue_full"
"""The account has too many requests waiting at the owner."""
REFUSED_ACCOUNT = "account_removed"
"""The account was removed from the service document."""
REFUSED_DUPLICATE = "duplicate_key"
"""A call with the same idempotency key has been sent before."""
REFUSED_KEYS_UNAVAILABLE = "keys_unavailable"
"""The key-value service cannot record the idempotency key now."""

OUTCOME_WHOLE = "whole"
"""The answer arrived completely."""
OUTCOME_NOT_RUN = "not_run"
"""No byte of the request reached the server."""
OUTCOME_UNREACHABLE = "unreachable"
"""The server could not be connected to, so no byte of the request reached it."""
OUTCOME_REFUSED = "refused"
"""The server refused the request without running it."""
OUTCOME_BROKEN = "broken"
"""The answer was incomplete or did not arrive."""
OUTCOME_CANCELLED = "cancelled"
"""The caller closed its connection."""

_CLASS_BY_TAG: dict[str, type] = {
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
_TAG_BY_CLASS = {message_class: tag for tag, message_class in _CLASS_BY_TAG.items()}
_FIELD_NAMES = {
    message_class: tuple(field.name for field in fields(message_class))
    for message_class in _TAG_BY_CLASS
}


def encode_frame(logical: int, messages: list) -> bytes:
    """Encode messages as one frame.

    Args:
        logical: The sender's logical time.
        messages: Instances of the message classes.

    Returns:
        The frame.

    Example:
        >>> decode_frame(encode_frame(3, [SlotCancel(7)]))
        (3, [SlotCancel(ticket=7)])
    """
    body = [
        [
            _TAG_BY_CLASS[type(message)],
            *(getattr(message, name) for name in _FIELD_NAMES[type(message)]),
        ]
        for message in messages
    ]
    # Documents may contain bytes that are not UTF-8, decoded as surrogate escapes.
    return msgpack.packb([logical, body], unicode_errors=_UNICODE_ERRORS)


_CHECKS = {message_class: make_checks(message_class) for message_class in _TAG_BY_CLASS}


def _decode_message(item: object) -> object:
    if type(item) is not list or not item or type(item[0]) is not str:
        raise FrameError("message has no tag")
    message_class = _CLASS_BY_TAG.get(item[0])
    if message_class is None:
        raise FrameError(f"unknown message tag {item[0][:20]!r}")
    checks = _CHECKS[message_class]
    if len(item) != len(checks) + 1:
        raise FrameError(
            f"{message_class.__name__} has the wrong number of fields, {len(item) - 1}"
        )
    for (name, check), value in zip(checks, item[1:], strict=True):
        if not check(value):
            raise FrameError(
                f"{message_class.__name__}.{name} has an unexpected type or value"
            )
    return message_class(*item[1:])


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
        raise FrameError(f"frame has {len(data)} bytes, more than {MAX_FRAME_BYTES}")
    try:
        frame = msgpack.unpackb(
            data, strict_map_key=False, unicode_errors=_UNICODE_ERRORS
        )
    except (ValueError, TypeError, msgpack.UnpackException) as error:
        # unpackb raises TypeError for a map with a list as key.
        raise FrameError(f"frame is not valid msgpack ({error})") from error
    if type(frame) is not list or len(frame) != 2:
        raise FrameError("frame is not a pair of logical time and messages")
    logical, items = frame
    if type(logical) is not int or not 0 <= logical < 2**62:
        raise FrameError("frame has no valid logical time")
    if type(items) is not list:
        raise FrameError("frame has no list of messages")
    return logical, [_decode_message(item) for item in items]
