#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-3 ] || exit 2
trouble=1
[ "${TROUBLE:-1}" = 0 ] && trouble=0
exec java -cp target/review-3 CaseGone review/14 $trouble
