#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" || exit 2
exec java -Xmx1g -cp '../../target/review:../../target/lib/*' LateCommand "$PWD"
