"""The decision log under more lines than it may write."""

from __future__ import annotations

import json
import os

from lagoonsail_core.decision_log import BURST_LINES, RESERVED_LINES, DecisionLog


# CONFIG: under a flood the log lacked the lines that told when a change was in force.
def test_flood_of_requests_leaves_lines_for_changes(tmp_path, manual_clock):
    path = tmp_path / "log"
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT)
    log = DecisionLog("r1", manual_clock.clock(), descriptor)
    for _ in range(int(2 * BURST_LINES)):
        log.write("refused")
    for _ in range(int(RESERVED_LINES)):
        log.write_change("manifest_in_force")
    os.close(descriptor)
    events = [json.loads(line)["event"] for line in path.read_text().splitlines()]
    assert events.count("manifest_in_force") == RESERVED_LINES
    assert events.count("refused") == BURST_LINES - RESERVED_LINES
