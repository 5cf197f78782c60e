"""Service documents in the key-value service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.names import NAME_PATTERN
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_ctl.errors import BadInputError, StoreUnavailableError
from lagoonsail_ctl.fleet import STORE_REMEDY
from lagoonsail_store.store_client import Absent, Conflict, Write

if TYPE_CHECKING:
    from lagoonsail_ctl.connection import Connection

DOCUMENTS = "documents/"
"""Beginning of the keys of documents, after the prefix."""

MAX_TRANSACTION_BYTES = 1_000_000
"""Text that one transaction carries unless a single document is larger."""

MAX_TRANSACTION_WRITES = 100
"""Documents that one transaction changes."""

UNKNOWN_OUTCOME_REMEDY = (
    "the change may have been made; repeat the command, which changes nothing twice"
)
"""What to do when a write was not answered."""


@dataclass(slots=True)
class StoredDocument:
    """A document as it stands in the key-value service."""

    key: str
    """Its key, without the prefix."""
    revision: int
    """Its revision; 0 if there is none."""
    text: str
    """The document; empty if there is none or it was deleted."""


def split_names(text: str, form: str) -> list[str]:
    """Split names that are joined by slashes.

    Args:
        text: For example ``cordero/asistente``.
        form: Words for the error, for example ``SIDE/SERVICE``.

    Returns:
        The names.

    Raises:
        BadInputError: If their number or spelling is wrong.
    """
    names = text.split("/")
    is_well_formed = all(NAME_PATTERN.fullmatch(name) for name in names)
    if len(names) != form.count("/") + 1 or not is_well_formed:
        raise BadInputError(
            f"malformed {form} {text[:200]!r}",
            f"write {form}, of a-z, 0-9 and hyphen",
        )
    return names


def resolve_key(connection: Connection, text: str) -> str:
    """Return the key of a document that was named in any accepted form.

    Args:
        connection: Holds the prefix.
        text: ``SIDE/SERVICE``, ``documents/SIDE/SERVICE`` or that after the prefix.

    Returns:
        The key, without the prefix.

    Raises:
        BadInputError: If the text has none of these forms.
    """
    name = text.removeprefix(connection.prefix).removeprefix(DOCUMENTS)
    split_names(name, "SIDE/SERVICE")
    return DOCUMENTS + name


def missing_document(service: str) -> BadInputError:
    """Return the error of a command on a service without a document.

    Args:
        service: ``SIDE/SERVICE``.
    """
    return BadInputError(f"there is no document of {service}", "see lagoonctl show")


def _size(document: StoredDocument) -> int:
    return len(document.text.encode("utf-8", "surrogateescape"))


def take_batch(documents: list[StoredDocument]) -> list[StoredDocument]:
    """Return the first documents that fit into one transaction.

    Args:
        documents: Documents to write; at least one.

    Returns:
        The longest beginning of the list within the limits, never empty.
    """
    batch = documents[:1]
    size = _size(documents[0])
    for document in documents[1:MAX_TRANSACTION_WRITES]:
        size += _size(document)
        if size > MAX_TRANSACTION_BYTES:
            break
        batch.append(document)
    return batch


class Documents:
    """Reads and replaces documents in the key-value service."""

    __slots__ = ("_prefix", "_store")

    def __init__(self, connection: Connection) -> None:
        self._prefix = connection.prefix
        self._store = connection.open_store()

    def read(self, key: str) -> StoredDocument:
        """Read one document.

        Args:
            key: Key of the document, without the prefix.

        Returns:
            The document, with revision 0 if there is none.

        Raises:
            StoreUnavailableError: If the service does not answer.
        """
        entry = self._store.get(self._prefix + key)
        if isinstance(entry, Unavailable):
            raise StoreUnavailableError(entry.reason, STORE_REMEDY)
        if isinstance(entry, Absent):
            return StoredDocument(key, 0, "")
        return StoredDocument(key, entry.revision, entry.value)

    def list_side(self, side: str) -> list[StoredDocument]:
        """Read all documents of a side that are not deleted.

        Args:
            side: Name of the side.

        Returns:
            The documents, by key.

        Raises:
            StoreUnavailableError: If the service does not answer.
        """
        listing = self._store.list(f"{self._prefix}{DOCUMENTS}{side}/")
        if isinstance(listing, Unavailable):
            raise StoreUnavailableError(listing.reason, STORE_REMEDY)
        return [
            StoredDocument(
                entry.key.removeprefix(self._prefix), entry.revision, entry.value
            )
            for entry in listing.entries
            if entry.value
        ]

    def replace(
        self, documents: list[StoredDocument]
    ) -> list[StoredDocument] | Conflict:
        """Replace documents in one transaction if none has changed meanwhile.

        Args:
            documents: New texts with the revisions that they must replace.

        Returns:
            The documents with their new revision, or the conflict.

        Raises:
            StoreUnavailableError: If the service does not answer; the outcome is
                unknown.
        """
        writes = [
            Write(self._prefix + item.key, item.text, item.revision)
            for item in documents
        ]
        result = self._store.put_all_if(writes)
        if isinstance(result, Unavailable):
            raise StoreUnavailableError(result.reason, UNKNOWN_OUTCOME_REMEDY)
        if isinstance(result, Conflict):
            return result
        revision = result.revision
        return [StoredDocument(item.key, revision, item.text) for item in documents]
