#!/bin/sh
# Builds what the scripts of cases 6 to 10 start, after the build of the deploy file: the stand-ins are plain
# Python and need only the interpreter in .venv. Nothing is fetched.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/stand2
