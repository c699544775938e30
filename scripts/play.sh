#!/bin/bash
# Runs one day of a site with the users' bench and prints its report without the log lines.
# scripts/play.sh SITE DAY WHY [further options of the bench]
set -euo pipefail
cd "$(dirname "$0")/.."
site="$1" day="$2" why="$3"
shift 3
bench="${FLEETBENCH:-../given/kit/more/system/bin/fleetbench}"
"$bench" run "$site" "$day" --why "$why" "$@" | grep -v ' event='
