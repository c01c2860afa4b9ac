#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
test -d target/review-standins || { echo "review/build.sh has not been run"; exit 2; }
exec java -cp target/review-standins PipelinedStop "$PWD" "$here"
