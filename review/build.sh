#!/bin/sh
# Builds the stand-ins, after the build of the deploy file: Python of the standard library, so it only compiles.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m compileall -q review
