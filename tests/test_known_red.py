"""KNOWN-RED.txt lists tests that exist.

Guards against an entry that stays behind when its test is renamed: the test then fails
CI although it is known to.
"""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]


def test_each_entry_names_a_test_that_exists():
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    entries = [line for line in lines if line and not line.startswith("#")]
    for entry in entries:
        node_id, *fields = entry.split(" | ")
        path, _, name = node_id.partition("::")
        function = name.partition("[")[0]
        source = (ROOT / path).read_text()
        assert re.search(rf"^def {function}\(", source, re.MULTILINE), node_id
        assert len(fields) == 3, node_id
