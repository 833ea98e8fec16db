#!/bin/bash
# Checks that the stand-ins can be started after the build of the deploy file.
# They are plain Python and need only the libraries that this build installs.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH=target/deps:review/standins
export PYTHONPYCACHEPREFIX=target/review-cache
python3 -m compileall -q review/standins
python3 -c "import world"
