#!/bin/bash
# Installs the packages, builds, and runs all tests by ctest with fixed seeds.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install_packages.sh
scripts/build.sh
build="${BUILD_DIR:-build}"

# Tests named in KNOWN-RED.txt ("test: NAME") fail because of a recorded fault.
# They run and their output is printed, but they do not change the exit code.
known_failures=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|' || true)
if [ -n "$known_failures" ]; then
  echo "known failures (KNOWN-RED.txt): $known_failures"
  ctest --test-dir "$build" --output-on-failure -R "^($known_failures)\$" || true
  ctest --test-dir "$build" --output-on-failure -j 4 -E "^($known_failures)\$"
else
  ctest --test-dir "$build" --output-on-failure -j 4
fi
