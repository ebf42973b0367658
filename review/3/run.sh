#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
test -x .venv/bin/python || exit 2
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python "$folder/case.py" "${TROUBLE:-1}" "$folder"
