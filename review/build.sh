#!/bin/sh
# Prepares the stand-ins of all cases. They are Python and use the standard library alone, so nothing is compiled or
# installed: this checks that the interpreter which the deploy file's `build` command made can read each of them.
set -e
cd "$(dirname "$0")/.."
exec .venv/bin/python -B -c '
import pathlib
for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
'
