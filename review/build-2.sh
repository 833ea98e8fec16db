#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are Python and use only the
# libraries that the build of the deploy file has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:review/standins-2" PYTHONDONTWRITEBYTECODE=1 \
  python3 -c "import platform_standins, deployment"
