#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case could not run.
exec python3 -B "$(dirname "$(readlink -f "$0")")/case.py"
