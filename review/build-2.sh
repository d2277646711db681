#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 8 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
GOWORK=off go test -c -trimpath -o ../../target/review-2/standin2 .
