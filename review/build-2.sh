#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start, into target/review-2/. The program itself is built by the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/common-2 -B target/review-2 -DCMAKE_BUILD_TYPE=Release > /dev/null
cmake --build target/review-2 -j8
