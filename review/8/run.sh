#!/usr/bin/env bash
# Runs the case. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if ! test -x target/camphorwick || ! test -x target/review-2/standin2; then
	echo "not built"
	exit 2
fi
exec target/review-2/standin2 case -number 8 -folder review/8
