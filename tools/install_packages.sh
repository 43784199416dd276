#!/usr/bin/env bash
# Installs all packages that the build, the checks and the tests need (Debian 12).
set -euo pipefail
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends \
  build-essential cmake ninja-build pkg-config clang-format clang-tidy ccache git \
  libglib2.0-dev libsoup-3.0-dev libcereal-dev libboost-program-options-dev \
  libboost-log-dev libexpected-dev libtomlplusplus-dev libgtest-dev libgmock-dev \
  libbenchmark-dev libprotobuf-dev libprotoc-dev nlohmann-json3-dev librange-v3-dev curl
