from __future__ import annotations

import pytest

from lagoonsail_sharing import prefix_index
from lagoonsail_standins import engine_reports


@pytest.mark.parametrize(
    "prompt", ["", "a" * 255, "ab" * 128, "día " * 500, "\ud800" * 600]
)
def test_engines_and_routers_hash_prefixes_alike(prompt):
    assert engine_reports.prefix_hashes(prompt) == prefix_index.prefix_hashes(prompt)
