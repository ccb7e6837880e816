#!/usr/bin/env bash
# Builds the stand-ins: they are plain Python and use only the standard library and the project's .venv.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
