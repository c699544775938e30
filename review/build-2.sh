#!/bin/bash
# The stand-ins of the cases 6 to 10 are Python files (review/lib-2), so that nothing has to be built.
# Checks that Python is there and can run them, and that the program of the deploy file is built.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import asyncio, sys; sys.exit(sys.version_info < (3, 8))'
python3 -c 'import ast, sys; [ast.parse(open(path, encoding="utf-8").read(), path) for path in sys.argv[1:]]' \
  review/lib-2/*.py review/*/case.py
test -x target/src/process/cli/lagoonladder
