#!/bin/bash
# Exits with 1 if a request that may run once was answered with a promise that it has not run although
# it had, 0 if not, and 2 if the case could not run. TROUBLE=0: no replica fails a request.
# What was sent, answered and run is written to record.txt in this folder.
cd "$(dirname "$0")" && exec python3 case.py "$PWD/record.txt"
