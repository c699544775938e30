#!/bin/bash
# Exits with 1 if a request ran with a key that no configuration in force holds, 0 if none did, and 2
# if the case could not run. TROUBLE=0: the operator does not take the last tenant away.
# What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")" && exec python3 case.py "$PWD/record.txt"
