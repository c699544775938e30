#!/bin/bash
# Writes the committed C++ files of src/process/protocol/*.proto.
set -euo pipefail
cd "$(dirname "$0")/../src/process/protocol"
protoc --cpp_out=. --grpc_out=. --plugin=protoc-gen-grpc="$(command -v grpc_cpp_plugin)" ./*.proto
