"""Router components without a running router, for benchmarks of a single one."""

from __future__ import annotations

import tempfile
from pathlib import Path

from lagoonsail_config.settings import load_settings
from lagoonsail_router.context import RouterContext

SHARD = "cordero/asistente@sierra-central"
"""Name of the only shard."""

SETTINGS = """\
[router]
name = {name}
side = cordero
region = sierra-central
failure_domain = banos
[listen]
callers = 127.0.0.1:8080
admin = 127.0.0.1:8081
peers = 127.0.0.1:8082
[store]
endpoints = 127.0.0.1:2379
[host-list]
url = http://127.0.0.1:2380/hosts
"""

DOCUMENT = """\
[service]
side = cordero
name = asistente
kind = engine
region = sierra-central
[failure-domain banos]
{servers}
[account norte]
share = 1
key_sha256 = {digest}
"""

SERVER = """\
[server s{number}]
address = 127.0.0.1:{port}
failure_domain = banos
slots = 8
cold_slots = 8
"""


def make_context(name: str) -> RouterContext:
    """Return the context of a router with default settings."""
    with tempfile.TemporaryDirectory() as directory:
        path = Path(directory, "router.ini")
        path.write_text(SETTINGS.format(name=name))
        return RouterContext(load_settings(path))
