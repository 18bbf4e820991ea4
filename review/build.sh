#!/usr/bin/env bash
# Compiles the stand-ins and the cases of the review into review/target/classes. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac --release 17 -Xlint:all -d target/classes $(find standin -name '*.java')
