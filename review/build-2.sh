#!/bin/sh
# Builds the stand-ins of the scripts in review/6 and later. Needs a JDK only.
cd "$(dirname "$0")/.." || exit 2
rm -rf target/review-2
mkdir -p target/review-2
exec javac -Xlint:-options --release 17 -d target/review-2 review/standins-2/*.java
