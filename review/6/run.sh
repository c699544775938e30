#!/bin/bash
# Exits with 1 if a request that may run once was answered with a promise that it has not run although
# it had, 0 if not, and 2 if the case could not run. TROUBLE=0: no replica fails a request.
cd "$(dirname "$0")" && exec python3 case.py
