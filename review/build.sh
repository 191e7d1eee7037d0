#!/bin/sh
# Builds the stand-ins of the cases' scripts, at the repository's root, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
CGO_ENABLED=1 go build -ldflags='-linkmode=external' -o target/review-harness ./review/testdata/harness
