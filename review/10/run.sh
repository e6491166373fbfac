#!/bin/sh
# Runs the case; exit status 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || exit 2
PYTHONPATH=review/stage PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python review/10/case.py
