#!/bin/sh
# The stand-ins of the scripts are Python files in lib/ and need no build; this checks that they can run.
set -eu
cd "$(dirname "$0")"
python3 -B -c 'import ast, glob
for path in glob.glob("lib/*.py") + glob.glob("*/play.py"):
    ast.parse(open(path, encoding="utf-8").read(), path)'
