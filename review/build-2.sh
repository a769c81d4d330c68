#!/usr/bin/env bash
# Checks that the stand-ins of the cases 6 to 10 can be started: they are Python
# programs of the standard library only, so that nothing has to be compiled.
set -euo pipefail
cd "$(dirname "$0")"
export PYTHONDONTWRITEBYTECODE=1
python3 - <<'CHECK'
import pathlib
import sys
if sys.version_info < (3, 8):
    sys.exit("the stand-ins need Python 3.8 or later")
for source in [*pathlib.Path("lib-2").glob("*.py"), *pathlib.Path(".").glob("[0-9]*/case.py")]:
    compile(source.read_text(), str(source), "exec")
print("the stand-ins are ready")
CHECK
