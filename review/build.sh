#!/usr/bin/env bash
# Compiles the stand-ins and the cases into target/review, with the libraries that the build of the
# deploy file has put into target/lib.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -Xlint:all -cp 'target/lib/*' -d target/review review/standin/*.java review/[0-9]/*.java
