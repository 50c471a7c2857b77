#!/usr/bin/env bash
# Prepares the cases 6 to 10. Their stand-ins are Python files without dependencies, so that nothing is
# built; the script checks that the interpreter can run them.
set -euo pipefail
cd "$(dirname "$(readlink -f "$0")")"
python3 -B - standin-2/*.py {6,7,8,9,10}/*.py <<'PYTHON'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed, as in Debian 12")
import tomllib  # noqa: F401

for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
PYTHON
