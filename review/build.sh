#!/bin/sh
# Run from anywhere, after the build of the deploy file.  The stand-ins are Python modules that need
# msgspec from target/deps alone, so this only compiles them as a check.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps python3 -c "import msgspec" || exit 2
for file in review/common/*.py review/[0-9]/*.py; do
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file" || exit 2
done
