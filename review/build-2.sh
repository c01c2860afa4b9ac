#!/bin/sh
# Builds the stand-ins of the scripts in review/6 and later. Needs a JDK, and the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:-options --release 17 -d target/review-2 review/standins-2/*.java || exit 1
# Those of review/8 and later read JSON with the library that the deploy build puts beside the program.
rm -rf target/review-standins-3
mkdir -p target/review-standins-3
exec javac -Xlint:-options --release 17 -d target/review-standins-3 -cp 'target/foxtailford-entry/lib/*' review/standins-3/*.java
