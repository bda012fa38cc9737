#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases: compiles them and the project's own ones beside the built package.
# Needs no network. Run it from anywhere, after the build line of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -R review/standins_2 target/review-2/
test -d target/app/ladderfield/testing
python3 -m compileall -q target/review-2 target/app/ladderfield/testing
