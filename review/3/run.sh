#!/bin/sh
# Writes what was sent, answered and run to record.txt in this folder. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. TROUBLE=0: the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
exec python3 -B "$folder/play.py" "$folder/record.txt"
