#!/bin/sh
# Plays the case with this number; the exit code is 2 unless it has shown that the rule held or not.
cd "$(dirname "$0")/.." || exit 2
program=target/review-3/case-$1
[ -x "$program" ] && [ -x target/release/corneltrestle-node ] || exit 2
"$program" &
pid=$!
trap 'kill "$pid" 2>/dev/null; wait "$pid"; rm -rf "${TMPDIR:-/tmp}/review-3-$pid"; exit 2' HUP INT TERM
wait "$pid"
code=$?
# A program that was killed has left its folder.
rm -rf "${TMPDIR:-/tmp}/review-3-$pid"
[ "$code" -le 1 ] || code=2
exit "$code"
