#!/usr/bin/env bash
# Builds and runs all tests. Succeeds if no test fails other than those listed in KNOWN-RED.txt.
# Prints the listed tests that failed.
# Usage: tools/test.sh [BUILD_DIR]
set -uo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
cmake -S . -B "$build" -G Ninja >/dev/null || exit 1
cmake --build "$build" || exit 1
ctest --test-dir "$build" --output-on-failure -j "${TEST_JOBS:-$(nproc)}" --no-tests=error \
  --output-junit "$PWD/$build/junit.xml" | tee "$build/ctest.log"
status=${PIPESTATUS[0]}
[ "$status" = 0 ] && exit 0
grep -q '^The following tests FAILED' "$build/ctest.log" || exit "$status"
failed=$(sed -n '/^The following tests FAILED/,$p' "$build/ctest.log" |
  sed -nE 's/^[[:space:]]*[0-9]+ - ([^ ]+) \(.*/\1/p')
known=$(sed -nE 's/^test: ([^ ]+).*/\1/p' KNOWN-RED.txt 2>/dev/null)
new=$(comm -23 <(echo "$failed" | sort) <(echo "$known" | sort))
echo "Failed and listed in KNOWN-RED.txt:"
comm -12 <(echo "$failed" | sort) <(echo "$known" | sort)
if [ -n "$new" ]; then
  echo "Failed and not listed:"
  echo "$new"
  exit 1
fi
