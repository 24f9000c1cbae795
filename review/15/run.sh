#!/usr/bin/env bash
# Plays case 15 against the programs that the deploy file and review/build-3.sh have built.
# 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/ebonyfall-entry ] && [ -x target/review/standin-3 ] || exit 2
set -m
target/review/standin-3 forward review/15 &
standin=$!
trap 'kill -- -"$standin" 2>/dev/null' EXIT INT TERM
wait "$standin"
