#!/usr/bin/env bash
# Checks the stand-ins and scripts of the cases 11 to 15. They need python3 and its standard library.
set -eu
cd "$(dirname "$0")"
for file in standin-3/standin.py 1[1-5]/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
