#!/bin/bash
# Installs the Debian packages that the build (deploy/system.toml) and the tests need.
# Recommended packages are not installed, since the users' machines do not have them either.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t packages < <(sed -n '/^packages = \[/,/\]/p' deploy/system.toml | grep -o '"[^"]*"' | tr -d '"')
# Tests, formatter, linter, the check of the build, and a cache for repeated builds.
packages+=(ninja-build ccache clang-format clang-tidy catch2 librapidcheck-dev curl git python3 strace)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
# The check of the build queries apt for the packages of an empty machine, so the package lists
# are always needed.
if [ "${#missing[@]}" -gt 0 ] || ! apt-cache show make >/dev/null 2>&1; then
  apt-get update -qq
fi
if [ "${#missing[@]}" -gt 0 ]; then
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
