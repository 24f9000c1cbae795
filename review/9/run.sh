#!/usr/bin/env bash
# Odd entries of another writer, more than a router lists; see claim.txt. TROUBLE=0 leaves them out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/ebonyfall-entry ] && [ -x target/review-2/standin-2 ] || exit 2
ulimit -n "$(ulimit -Hn)" || exit 2
TROUBLE="${TROUBLE:-1}" timeout -k 1 118 target/review-2/standin-2 odd-entries review/9
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
