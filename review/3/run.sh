#!/bin/sh
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run.  TROUBLE=0: without the crash.
cd "$(dirname "$0")" && exec python3 case.py
