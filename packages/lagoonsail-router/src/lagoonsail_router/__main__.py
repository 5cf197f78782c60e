"""Run the router with ``python -m lagoonsail_router``."""

from __future__ import annotations

from lagoonsail_router.start import main

main()
