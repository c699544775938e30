#!/bin/bash
# Exits with 1 if a machine in touch ran a request with a key that was dropped more than configApplyMs
# before, 0 if none did, and 2 if the case could not run. TROUBLE=0: no machine is frozen.
cd "$(dirname "$0")" && exec python3 case.py
