#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts with the Rust compiler alone; no network, no crates.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand review/stand/main.rs
