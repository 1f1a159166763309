#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/4 to review/8 start, against the libraries in target/lib.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/lib ] || { echo 'target/lib is missing: run the build of deploy/service.toml first' >&2; exit 2; }
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -nowarn -cp 'target/lib/*' -d target/review-2 review/standin-2/*.java
