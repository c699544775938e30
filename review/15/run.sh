#!/bin/bash
# A roll-out is ordered again, after its first try was rolled back and the version was mended.
# TROUBLE=0 does the same without the disruption. record.txt says what was sent, answered and run.
set -euo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
export TROUBLE="${TROUBLE:-1}" RECORD="$folder/record.txt"
exec python3 -B "$folder/case.py"
