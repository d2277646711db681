#!/bin/sh
# Builds the stand-ins of the review's script cases into target/review/.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off GOFLAGS=-mod=mod go test -c -trimpath -o ../../target/review/standin .
