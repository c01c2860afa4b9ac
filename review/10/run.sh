#!/usr/bin/env bash
# Exits with 1 if LOST was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out SIGTERM.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/review-standins-3/StopWithLongerTimeout.class ]; then
  echo "couldn't run: the build is missing" >&2
  exit 2
fi
exec java -Xmx256m -cp "target/review-standins-3:target/foxtailford-entry/lib/*" StopWithLongerTimeout review/10
