#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/runtime/bin/java ] && [ -d target/review ] || { echo "run deploy/build.sh and review/build.sh first"; exit 2; }
target/runtime/bin/java -Xmx128m -cp target/review CoreSwaps review/1 "${TROUBLE:-1}"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
