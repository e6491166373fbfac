#!/bin/sh
# Runs after the deploy file's build.  The stand-ins are Python and use its standard library alone, so there
# is nothing to compile: this checks that each file can be loaded by the Python that the build has made.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python - <<'PYTHON'
import sys
from pathlib import Path

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
folders = ["stage", "6", "7", "8", "9", "10"]
for source in sorted(path for folder in folders for path in Path("review", folder).glob("*.py")):
    compile(source.read_text(encoding="utf-8"), str(source), "exec")
PYTHON
