#!/bin/sh
# Plays the case. TROUBLE=0 leaves the disruption out. Exit code: 0 the rule held, 1 it was broken, 2 it could not be played.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-harness ] && [ -x target/elmspan ] || { echo "build the program and review/build.sh first"; exit 2; }
exec target/review-harness --case last-tenant --record "$here/record.txt"
