#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
timeout --signal=TERM --kill-after=5 115 python3 case.py
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
