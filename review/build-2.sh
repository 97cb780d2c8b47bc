#!/bin/sh
# Builds the programs of the scripts review/6 to review/10 into target/review, without dependencies.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for number in 6 7 8 9 10; do
    if [ -f "review/$number/case.rs" ]; then
        rustc --edition 2024 -O -o "target/review/case-$number" "review/$number/case.rs"
    fi
done
