#!/usr/bin/env bash
# Builds the scripts of the second review (cases 6 to 10), with their stand-ins, in target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  c++ -std=c++20 -O1 -g -Wall -Wextra -I review -pthread -o "target/review-2/case$number" "$source"
done
