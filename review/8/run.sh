#!/bin/bash
# Exits with 1 if a machine in touch ran a request with a key that was dropped more than configApplyMs
# before, 0 if none did, and 2 if the case could not run. TROUBLE=0: no machine is frozen.
# What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")" && exec python3 case.py "$PWD/record.txt"
