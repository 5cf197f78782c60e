"""What an engine has loaded, what a document wants of it, and what is missing."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonsail_config.document import ServerEntry, ServiceDocument


@dataclass(slots=True)
class EngineState:
    """What an engine has loaded, as far as orders can change it."""

    model: str
    """Model, empty for the one that it started with."""
    version: str
    """Version of the model."""
    adapters: frozenset[str]
    """Adapters."""
    role: str
    """Role, empty if none was ordered."""
    is_loading: bool = False
    """Whether it loads weights now."""


def wanted_state(server: ServerEntry, document: ServiceDocument) -> EngineState:
    """Return the state that a document wants of an engine.

    Args:
        server: The engine's part of the document.
        document: The document.

    Returns:
        The state; an empty model or role stands for any.
    """
    model = document.models.get(server.model)
    if model is None:
        return EngineState("", "", frozenset(), server.role)
    return EngineState(model.name, model.version, model.adapters, server.role)


def next_order(wanted: EngineState, state: EngineState) -> dict[str, str] | None:
    """Return the order that brings an engine nearer to the wanted state.

    Args:
        wanted: What the document wants.
        state: What the engine has.

    Returns:
        The order, or None if there is nothing to do.

    Example:
        >>> wanted = EngineState("m", "2", frozenset({"a"}), "")
        >>> next_order(wanted, EngineState("m", "2", frozenset(), "mixed"))
        {'order': 'load_adapter', 'adapter': 'a'}
    """
    if wanted.model:
        if (wanted.model, wanted.version) != (state.model, state.version):
            return {"order": "load", "model": wanted.model, "version": wanted.version}
        for adapter in sorted(state.adapters - wanted.adapters):
            return {"order": "unload_adapter", "adapter": adapter}
        for adapter in sorted(wanted.adapters - state.adapters):
            return {"order": "load_adapter", "adapter": adapter}
    if wanted.role and wanted.role != state.role:
        return {"order": "set_role", "role": wanted.role}
    return None


def is_managed(server: ServerEntry) -> bool:
    """Return whether the document says what an engine is to have loaded."""
    return bool(server.model or server.role)


def parse_state(status: int, body: bytes) -> EngineState | None:
    """Return the state that an engine shows, None unless each field is of its type.

    Args:
        status: HTTP status of the answer.
        body: Its body.
    """
    try:
        fields = json.loads(body)
        adapters = fields["adapters"]
        texts = [fields[name] for name in ("model", "version", "role")]
        is_loading = fields["loading"]
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    if status != 200 or type(is_loading) is not bool:
        return None
    # Of a text in place of the list each character would be an adapter to unload.
    if type(adapters) is not list or any(type(t) is not str for t in texts + adapters):
        return None
    model, version, role = texts
    return EngineState(model, version, frozenset(adapters), role, is_loading)
