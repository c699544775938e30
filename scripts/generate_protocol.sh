#!/bin/bash
# Generates the committed C++ files of the protocols: src/process/protocol/*.proto and
# src/version/protocol/*.proto.
set -euo pipefail
cd "$(dirname "$0")/../src"
(cd version/protocol && protoc --cpp_out=. ./*.proto)
cd process/protocol
protoc --cpp_out=. --grpc_out=. --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" ./*.proto
