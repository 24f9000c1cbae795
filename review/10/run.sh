#!/usr/bin/env bash
# A desired state with a high warm-up rate; see claim.txt. TROUBLE=0 gives the largest rate of the sheets.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/ebonyfall-entry ] && [ -x target/review-2/standin-2 ] || exit 2
ulimit -n "$(ulimit -Hn)" || exit 2
TROUBLE="${TROUBLE:-1}" timeout -k 1 118 target/review-2/standin-2 rate review/10
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
