#!/bin/bash
# Exits with 1 if a request ran with a key that no configuration in force holds, 0 if none did, and 2
# if the case could not run. TROUBLE=0: the operator does not take the last tenant away.
cd "$(dirname "$0")" && exec python3 case.py
