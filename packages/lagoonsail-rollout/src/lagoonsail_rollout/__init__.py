"""Decisions of a roll-out: exposure, judgement and phases of a new version."""
