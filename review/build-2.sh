#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: Python's standard library suffices, so this compiles
# them, to find an interpreter that cannot run them. The entry VMs are built by deploy/build.sh.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
import sys

assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for file in [*pathlib.Path("standins-2").glob("*.py"), *pathlib.Path(".").glob("[0-9]*/case.py")]:
    compile(file.read_text(), str(file), "exec")
PYTHON
