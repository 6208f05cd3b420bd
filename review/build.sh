#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. It needs no network: they use the standard
# library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../bin
GOFLAGS=-buildvcs=false GOPROXY=off go build -o ../bin/standin .
