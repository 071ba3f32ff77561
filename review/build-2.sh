#!/bin/sh
# Prepares the stand-ins of the cases 4 to 8, after the build of the deploy file.  Nothing has to be
# compiled: this checks that all of them can be imported.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="target/deps:.:review/common-2" PYTHONDONTWRITEBYTECODE=1 exec python3 -c "import case_world"
