#!/usr/bin/env bash
# Generates peer.pb.go and peer.twirp.go from peer.proto, in this directory or in $1.
set -euo pipefail
cd "$(dirname "$0")"
out=${1:-.}
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools" google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
PATH="$tools:$PATH" protoc --go_out="$out" --go_opt=paths=source_relative \
  --twirp_out="$out" --twirp_opt=paths=source_relative peer.proto
