"""Settings of all property tests: two runs give the same verdict on any machine."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile("repeatable", deadline=None, derandomize=True)
settings.load_profile("repeatable")
