#!/bin/bash
# Configures and builds into build/ (or $BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
cmake -S . -B "$build" -G Ninja -DLAGOONLADDER_WARNINGS_AS_ERRORS=ON >/dev/null
cmake --build "$build"
