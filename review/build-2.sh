#!/bin/sh
# Builds the stand-ins of the cases 4 and up: servers, clients, operators and the platform, in one program.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target && go build -o target/review-2 ./review/testdata/probe
