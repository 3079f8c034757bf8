#!/usr/bin/env bash
# Prepares the stand-ins of the cases: Python files that need only the standard library.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins [1-5] more
