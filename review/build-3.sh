#!/bin/bash
# Prepares the scripts of review/11 to review/15, after the build of the deploy file. Their stand-ins
# are Python programs (standard library only), so that nothing is compiled; this checks that they and
# the product's program are there.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/src/process/cli/lagoonladder || { echo "the build of deploy/system.toml is missing" >&2; exit 1; }
for file in review/lib-3/*.py review/1[1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
