#!/usr/bin/env bash
# Generates src/main/java/ebonygw/wire from the .proto files; run by hand after changing one.
# Takes protoc from the local Maven repository (com.google.protobuf:protoc:4.36.2).
set -euo pipefail
cd "$(dirname "$0")/../../.."
repository="${MAVEN_REPOSITORY:-$HOME/.m2/repository}"
protoc="$(mktemp)"
trap 'rm -f "$protoc"' EXIT
cp "$repository/com/google/protobuf/protoc/4.36.2/protoc-4.36.2-linux-x86_64.exe" "$protoc"
chmod +x "$protoc"
"$protoc" --proto_path=src/main/proto --java_out=src/main/java src/main/proto/*.proto
