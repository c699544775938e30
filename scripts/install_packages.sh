#!/bin/bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
packages=(g++ cmake ninja-build ccache pkg-config clang-format clang-tidy libasio-dev libgrpc++-dev
  protobuf-compiler-grpc protobuf-compiler prometheus-cpp-dev libcpp-httplib-dev libtclap-dev
  libboost-log-dev catch2 librapidcheck-dev libinih-dev nlohmann-json3-dev libssl-dev libxxhash-dev curl)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  apt-get update -qq
  DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
fi
