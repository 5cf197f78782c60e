"""The settings files of a fleet's routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lagoonsail_lab.parts import Router

ROUTER_PREFIX = "/lagoonsail/"
"""Beginning of every key of the fleet."""
HOST_LIST_POLL_MS = 250
"""Time between two reads of the host list."""


def write_router_settings(
    router: Router,
    store: str,
    host_list: str,
    advertised: str,
    further: dict[str, dict[str, str | int]],
) -> str:
    """Return the settings of a router.

    Args:
        router: The router, with its addresses.
        store: Address at which it reaches the key-value service.
        host_list: Address of the host list.
        advertised: Address that other routers are told, empty for its own.
        further: Further settings by section and key; they go before the others.

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
    for section, values in further.items():
        sections.setdefault(section, {}).update(values)
    blocks = []
    for section, values in sections.items():
        lines = [f"{key} = {value}" for key, value in values.items()]
        blocks.append("\n".join([f"[{section}]", *lines]))
    return "\n\n".join(blocks) + "\n"
