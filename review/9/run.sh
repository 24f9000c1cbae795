#!/usr/bin/env bash
# Requests of many short fields, one at a time; see claim.txt. TROUBLE=0 sends fewer fields.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/ebonyfall-entry ] && [ -x target/review-2/standin-2 ] || exit 2
ulimit -n "$(ulimit -Hn)" || exit 2
TROUBLE="${TROUBLE:-1}" timeout -k 1 118 target/review-2/standin-2 denied review/9
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
