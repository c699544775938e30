#!/bin/bash
# Checks formatting (clang-format) and lint (clang-tidy) with the committed settings.
# scripts/lint.sh [--fix]  reformats instead of checking.
set -euo pipefail
cd "$(dirname "$0")/.."
build="${BUILD_DIR:-build}"
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp')
if [ "${1:-}" = --fix ]; then
  clang-format -i "${sources[@]}"
  exit 0
fi
clang-format --dry-run --Werror "${sources[@]}"
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '/internal/.*\.cpp$\|^src/.*/main\.cpp$')
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet 2>/dev/null
echo "lint: ok"
