#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-standins
mkdir -p target/review-standins
javac -d target/review-standins review/standins/*.java
echo "review: stand-ins are built"
