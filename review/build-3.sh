#!/bin/sh
# Builds the stand-in that the scripts of cases 11 to 15 start, as target/review-3. It needs no
# network; the gateway itself is built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/standin-3"
GOWORK=off go test -c -o ../../target/review-3 .
