#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts of cases 6 to 10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -Xlint:none -cp "target/dist/lib/*" -d target/review-2 review/rig-2/*.java
