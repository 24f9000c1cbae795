#!/usr/bin/env bash
# Builds the stand-ins of the cases 13 to 15, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin-3 review/standin-3.rs
