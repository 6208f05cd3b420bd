#!/usr/bin/env bash
# Generates owners.pb.go from owners.proto, in this directory or in $1.
set -euo pipefail
cd "$(dirname "$0")"
out=${1:-.}
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools" google.golang.org/protobuf/cmd/protoc-gen-go
PATH="$tools:$PATH" protoc --go_out="$out" --go_opt=paths=source_relative owners.proto
