#!/usr/bin/env bash
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="target/deps:review/standins-2" PYTHONDONTWRITEBYTECODE=1 exec python3 review/8/play.py review/8
