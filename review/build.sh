#!/bin/sh
# The stand-ins of the cases are Python programs without dependencies; this only
# checks that they can be compiled.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib

for path in [pathlib.Path("standins.py"), *pathlib.Path(".").glob("*/case.py")]:
    compile(path.read_text(), str(path), "exec")
PYTHON
