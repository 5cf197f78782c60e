"""Run lagoonctl as ``python -m lagoonsail_ctl``."""

from __future__ import annotations

import sys

from lagoonsail_ctl.main import main

if __name__ == "__main__":
    sys.exit(main())
