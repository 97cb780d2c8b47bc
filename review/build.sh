#!/usr/bin/env bash
# Builds the stand-ins and callers of the cases. Needs only rustc; writes to target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/harness/main.rs
