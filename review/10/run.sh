#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" || exit 2
exec python3 case.py
