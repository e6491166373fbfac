#!/bin/sh
# Plays the case, or with TROUBLE=0 the same without the disruption; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" && exec ../../.venv/bin/python -B play.py
