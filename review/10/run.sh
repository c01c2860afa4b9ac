#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out SIGTERM.
exec sh "$(dirname "$0")/../standins-3/run.sh" StopWithLongerTimeout 10
