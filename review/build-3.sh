#!/usr/bin/env bash
# Builds the stand-ins of the third review; they need the JDK only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
javac -d target/review-3 review/standins-11/*.java
