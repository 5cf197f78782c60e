#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: Python modules without dependencies.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q parts-2 6 7 8 9 10
