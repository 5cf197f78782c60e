"""The loaded and the desired state of an engine, and the next order between them."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonsail_config.document import ServerEntry, ServiceDocument


@dataclass(slots=True)
class EngineState:
    """The part of an engine's state that orders can change."""

    model: str
    """Model, empty for the one that the engine started with."""
    version: str
    """Version of the model."""
    adapters: frozenset[str]
    """Names of the loaded adapters."""
    role: str
    """Role, empty if no order has set one."""
    is_loading: bool = False
    """Whether the engine is loading weights."""


def desired_state(server: ServerEntry, document: ServiceDocument) -> EngineState:
    """Return the state that a document specifies for an engine.

    Args:
        server: The engine's entry in the document.
        document: The document.

    Returns:
        The state; an empty model or role matches any.
    """
    model = document.models.get(server.model)
    if model is None:
        return EngineState("", "", frozenset(), server.role)
    return EngineState(model.name, model.version, model.adapters, server.role)


def next_order(desired: EngineState, state: EngineState) -> dict[str, str] | None:
    """Return the next order on the way to the desired state.

    Args:
        desired: State that the document specifies.
        state: Current state of the engine.

    Returns:
        The order, or None if the engine is in the desired state.

    Example:
        >>> desired = EngineState("m", "2", frozenset({"a"}), "")
        >>> next_order(desired, EngineState("m", "2", frozenset(), "mixed"))
        {'order': 'load_adapter', 'adapter': 'a'}
    """
    if desired.model:
        if (desired.model, desired.version) != (state.model, state.version):
            return {"order": "load", "model": desired.model, "version": desired.version}
        for adapter in sorted(state.adapters - desired.adapters):
            return {"order": "unload_adapter", "adapter": adapter}
        for adapter in sorted(desired.adapters - state.adapters):
            return {"order": "load_adapter", "adapter": adapter}
    if desired.role and desired.role != state.role:
        return {"order": "set_role", "role": desired.role}
    return None


def is_managed(server: ServerEntry) -> bool:
    """Return whether the document specifies a model or role for an engine."""
    return bool(server.model or server.role)


def parse_state(status: int, body: bytes) -> EngineState | None:
    """Return the state that an engine reports, None if the response is malformed.

    Args:
        status: HTTP status of the response.
        body: Body of the response.
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
    # A string in place of the list would make each character an adapter to unload.
    if type(adapters) is not list or any(type(t) is not str for t in texts + adapters):
        return None
    model, version, role = texts
    return EngineState(model, version, frozenset(adapters), role, is_loading)
