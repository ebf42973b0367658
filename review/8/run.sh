#!/bin/sh
# Plays the case once: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
test -x ../../.venv/bin/python || exit 2
PYTHONPATH=.. PYTHONDONTWRITEBYTECODE=1 exec ../../.venv/bin/python case.py
