#!/usr/bin/env bash
# Installs the needed packages, builds, and runs the smoke test. Run as root on Debian 12.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install_packages.sh > /dev/null
cmake -S . -B build -G Ninja > /dev/null
cmake --build build
tools/main_job.sh build
