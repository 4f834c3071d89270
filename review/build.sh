#!/bin/sh
# Builds the stand-ins of the cases with the project's own libraries. Run after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -d target/review -cp "target/dist/lib/*" review/rig/*.java
