#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10; needs only the Rust compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -A dead_code -o target/review-2/review-2 review/stand-2/main.rs
