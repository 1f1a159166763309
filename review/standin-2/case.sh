#!/usr/bin/env bash
# Runs the case of the class $2 for the folder $1; ends the stand-ins and their controllers when it is ended itself.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/../.."
if [ ! -f target/oakwalk.jar ] || [ ! -d target/review-2 ]; then
  echo 'build first: the build of deploy/service.toml, then review/build-2.sh' >&2
  exit 2
fi
java -Xmx512m -cp 'target/review-2:target/lib/*' "$2" "$folder/record.txt" &
child=$!
trap 'kill "$child" 2>/dev/null' INT TERM
wait "$child"
code=$?
wait "$child" 2>/dev/null
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
