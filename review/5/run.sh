#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 the same is done without the disruption.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}"
exec python3 case.py
