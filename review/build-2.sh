#!/bin/sh
# Builds the stand-ins that the scripts in review/6 and later start, into target/review-2/. The
# router itself is built by the build line of deploy/system.toml. It needs no network: the stand-ins
# use the standard library only.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOWORK=off GOPROXY=off GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go build -o ../../target/review-2/standin .
