#!/bin/sh
# Builds the stand-ins of the cases 11 to 15: checks that they compile, into
# target/. They need only what the build of deploy/system.toml has installed.
cd "$(dirname "$0")/.." || exit 1
PYTHONPYCACHEPREFIX=target/review-3 PYTHONPATH=target/deps \
    python3 -m compileall -q review/standins-3 review/1[1-5] || exit 1
PYTHONPATH=target/deps python3 -c "import aiohttp, yaml"
