#!/usr/bin/env bash
# Builds the programs of the review's scripts into target/review/. Needs a C++20 compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -g -Wall -Wextra -pthread -I review \
    -o "target/review/case$number" "$source"
done
