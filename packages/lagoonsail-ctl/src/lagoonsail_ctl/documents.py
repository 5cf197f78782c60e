"""Access to the service documents in the key-value service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from lagoonsail_core.names import NAME_PATTERN
from lagoonsail_core.unavailable import Unavailable
from lagoonsail_ctl.errors import BadInputError, StoreUnavailableError
from lagoonsail_ctl.fleet import STORE_UNAVAILABLE_REMEDY
from lagoonsail_store.store_client import Absent, Conflict, Write

if TYPE_CHECKING:
    from lagoonsail_ctl.connection import Connection

DOCUMENTS_PREFIX = "documents/"
"""Prefix of the keys of documents, after the fleet's prefix."""

MAX_TRANSACTION_BYTES = 1_000_000
"""Most bytes of text in one transaction, unless a single document is larger."""

MAX_TRANSACTION_WRITES = 100
"""Most documents that one transaction writes."""

UNKNOWN_OUTCOME_REMEDY = (
    "the change may have been made; repeat the command, which is idempotent"
)
"""Remedy for a write that was not answered."""


@dataclass(slots=True)
class StoredDocument:
    """A document as stored in the key-value service."""

    key: str
    """Key, without the fleet's prefix."""
    revision: int
    """Revision; 0 if there is no document."""
    text: str
    """Text; empty if there is no document or it was deleted."""


def split_names(text: str, form: str) -> list[str]:
    """Split a text into names that are separated by slashes.

    Args:
        text: For example ``cordero/asistente``.
        form: Expected form, for example ``SIDE/SERVICE``.

    Returns:
        The names.

    Raises:
        BadInputError: If the number of names or a name is invalid.
    """
    names = text.split("/")
    is_well_formed = all(NAME_PATTERN.fullmatch(name) for name in names)
    if len(names) != form.count("/") + 1 or not is_well_formed:
        raise BadInputError(
            f"malformed {form} {text[:200]!r}",
            f"write {form}; names consist of a-z, 0-9 and hyphen",
        )
    return names


def resolve_key(connection: Connection, text: str) -> str:
    """Return the key of a document from any accepted form of its name.

    Args:
        connection: Supplies the fleet's prefix.
        text: ``SIDE/SERVICE`` or ``documents/SIDE/SERVICE``, the latter also after
            the prefix.

    Returns:
        The key, without the prefix.

    Raises:
        BadInputError: If the text has none of these forms.
    """
    name = text.removeprefix(connection.prefix).removeprefix(DOCUMENTS_PREFIX)
    split_names(name, "SIDE/SERVICE")
    return DOCUMENTS_PREFIX + name


def missing_document_error(service: str) -> BadInputError:
    """Return the error for a service that has no document.

    Args:
        service: ``SIDE/SERVICE``.
    """
    return BadInputError(
        f"there is no document of {service}", "list the services with lagoonctl show"
    )


def _size(document: StoredDocument) -> int:
    return len(document.text.encode("utf-8", "surrogateescape"))


def first_batch(documents: list[StoredDocument]) -> list[StoredDocument]:
    """Return the first documents that fit into one transaction.

    Args:
        documents: Documents to write; at least one.

    Returns:
        The longest prefix of the list within the limits, at least one document.
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
            raise StoreUnavailableError(entry.reason, STORE_UNAVAILABLE_REMEDY)
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
        listing = self._store.list(f"{self._prefix}{DOCUMENTS_PREFIX}{side}/")
        if isinstance(listing, Unavailable):
            raise StoreUnavailableError(listing.reason, STORE_UNAVAILABLE_REMEDY)
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
        """Replace documents in one transaction if all are at the given revisions.

        Args:
            documents: New texts with the revisions that they replace.

        Returns:
            The documents with their new revision, or the conflict.

        Raises:
            StoreUnavailableError: If the service does not answer; the documents may
                have been written.
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
