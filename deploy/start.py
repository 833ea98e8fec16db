"""Starts a manager from a checkout, with the libraries of the workspace."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent

sys.path[:0] = [
    str(path)
    for pattern in ("platform/src", "daemons/manager/src", "libs/*/src")
    for path in sorted(ROOT.glob(pattern))
]

from coltsfootseam.adapter.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
