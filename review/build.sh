#!/usr/bin/env bash
# Checks what the scripts need. Their stand-ins are Python modules, which are not built.
set -euo pipefail
cd "$(dirname "$(readlink -f "$0")")"
python3 -B - standin/*.py [0-9]/*.py <<'CHECK'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as file:
        compile(file.read(), name, "exec")
CHECK
[ -x ../target/bin/acaciasilld-platform ] || { echo "run the build of the deploy file first" >&2; exit 1; }
