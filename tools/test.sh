#!/usr/bin/env bash
# Builds and runs all tests. Succeeds if no test fails other than those listed in KNOWN-RED.txt.
# Prints the listed tests that failed.
# With --sanitize, builds with AddressSanitizer and UndefinedBehaviorSanitizer and leaves out the
# tests that run the programs as processes.
# Usage: tools/test.sh [--sanitize] [BUILD_DIR]
set -uo pipefail
cd "$(dirname "$0")/.."
options=()
targets=()
excluded=()
if [ "${1:-}" = --sanitize ]; then
  shift
  options=(-DCHICORYVALE_SANITIZE=ON)
  process_tests='process|hostile|programs|soak'
  for dir in tests/*/; do
    name=$(basename "$dir")
    ls "$dir"*.cc >/dev/null 2>&1 && ! [[ $name =~ ^($process_tests)$ ]] &&
      targets+=(--target "${name}_tests")
  done
  excluded=(-E "^($process_tests)")
fi
build=${1:-build}
cmake -S . -B "$build" -G Ninja "${options[@]}" >/dev/null || exit 1
cmake --build "$build" "${targets[@]}" || exit 1
ctest --test-dir "$build" --output-on-failure -j "${TEST_JOBS:-$(nproc)}" --no-tests=error \
  "${excluded[@]}" \
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
