#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.  What was sent,
# answered and run is written to record.txt in this folder.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
PYTHONPATH="target/deps:.:review/common-2" PYTHONDONTWRITEBYTECODE=1 exec python3 "$here/case.py"
