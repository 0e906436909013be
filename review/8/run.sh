#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 kills no process.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 3 117 target/runtime/bin/java -cp target/review-2 ForgottenCase review/8/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
