from __future__ import annotations

import pytest

DOCUMENT = """\
; Races on the Pastaza
[service]
side = cordero
name = asistente
kind = engine
region = sierra-central

[failure-domain banos]
[failure-domain puyo]
  state = out

[server asistente-1]
address = 127.0.0.1:9001
failure_domain = banos
slots = 8
# one request at a time while it loads

[server asistente-2]
address = 127.0.0.1:9002
failure_domain = puyo
slots = 8
cold_slots = 2
checks_fencing = no
region = amazonia

[account club-norte]
share = 3
key_sha256 = 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b

[calls POST /bibs]
repeatable = no
[calls POST /bibs/preview]
repeatable = yes
"""

SETTINGS = """\
[router]
name = cordero-1
side = cordero
region = sierra-central
failure_domain = banos
[listen]
callers = 127.0.0.1:8080
admin = 127.0.0.1:8081
peers = [::1]:8082
[store]
endpoints = 127.0.0.1:2379, 127.0.0.1:2380
[host-list]
url = http://127.0.0.1:2380/hosts
"""


@pytest.fixture
def document_text() -> str:
    """Return a document without mistakes; the account's key is "secret"."""
    return DOCUMENT


@pytest.fixture
def settings_text() -> str:
    """Return settings without mistakes."""
    return SETTINGS
