#!/bin/sh
# Installs the libraries of the routers, and compiles all, since the tree is read-only
# when it runs and start-up is service time.
set -eu
if [ ! target/deps -nt constraints.txt ] || [ ! target/deps -nt deploy/requirements.txt ]; then
    python3 -m pip install -q -U --disable-pip-version-check --target target/deps \
        -c constraints.txt -r deploy/requirements.txt
    touch target/deps
fi
python3 -m compileall -q target/deps packages platform
