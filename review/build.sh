#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases into build/review. Needs g++ and nlohmann-json3-dev, which the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/common/*.cpp; do
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -c "$source" -o "build/review/$(basename "$source" .cpp).o" &
done
wait
for source in review/[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++17 -O1 -Wall -Wextra -pthread "$source" build/review/*.o -o "build/review/case-$(basename "$(dirname "$source")")" &
done
wait
