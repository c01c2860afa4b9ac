#!/bin/sh
# Runs a script of the review: run.sh CLASS N. The class ends the processes that it starts.
cd "$(dirname "$0")/../.." || exit 2
[ -f "target/review-standins-3/$1.class" ] || exit 2
[ -f target/foxtailford-entry/foxtailford-entry.jar ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 118 java -Xmx256m -cp "target/review-standins-3:target/foxtailford-entry/lib/*" "$1" "$folder" "review/$2" &
trap 'kill $!; wait $!; exit 2' INT TERM
wait $!
status=$?
[ "$status" -le 1 ] || exit 2
exit "$status"
