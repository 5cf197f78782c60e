"""Settings files of a fleet's routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonsail_lab.parts import Router

ROUTER_PREFIX = "/lagoonsail/"
"""Prefix of all keys of the fleet in the key-value service."""
HOST_LIST_POLL_MS = 250
"""Time between two reads of the host list, milliseconds."""


def write_router_settings(
    router: Router,
    store: str,
    host_list: str,
    advertised: str,
    extra_settings: dict[str, dict[str, str | int]],
) -> str:
    """Return the text of a router's settings file.

    Args:
        router: The router, with its addresses set.
        store: Address for reaching the key-value service.
        host_list: Address of the host list.
        advertised: Address to advertise to other routers; empty for its own.
        extra_settings: Additional settings by section and key; override the others.

    Returns:
        INI text.
    """
    sections: dict[str, dict[str, str | int]] = {
        "router": {
            "name": router.name,
            "side": router.side,
            "region": router.region,
            "failure_domain": router.failure_domain,
        },
        "listen": {
            "callers": router.callers,
            "admin": router.admin,
            "peers": router.peers,
        },
        "store": {"endpoints": store, "prefix": ROUTER_PREFIX},
        "host-list": {
            "url": f"http://{host_list}/hosts",
            "poll_ms": HOST_LIST_POLL_MS,
        },
    }
    if advertised:
        sections["peers"] = {"advertised": advertised}
    for section, values in extra_settings.items():
        sections.setdefault(section, {}).update(values)
    blocks = []
    for section, values in sections.items():
        lines = [f"{key} = {value}" for key, value in values.items()]
        blocks.append("\n".join([f"[{section}]", *lines]))
    return "\n\n".join(blocks) + "\n"
