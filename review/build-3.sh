#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15 into target/review-3, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f target/liblentiljunction_lib.a ] || { echo "run the build of deploy/system.toml first" >&2; exit 1; }

mkdir -p target/review-3
shared=(review/common-3/*.cpp standins/platform/PlatformStore.cpp tools/lab/Process.cpp)
flags=(-std=c++17 -O2 -Wall -Wextra -Iinclude -Isrc)
libraries=(target/liblentiljunction_lib.a -ltbb -lspdlog -lfmt -lssl -lcrypto -lprometheus-cpp-core -lpq -linih -lcpp-httplib -lpthread)
objects=()
for source in "${shared[@]}"; do
    object="target/review-3/$(basename "${source%.cpp}").o"
    g++ "${flags[@]}" -c "$source" -o "$object" &
    objects+=("$object")
done
wait
for main in review/1[1-5]/main.cpp; do
    [ -f "$main" ] || continue
    g++ "${flags[@]}" "$main" "${objects[@]}" "${libraries[@]}" -o "target/review-3/case-$(basename "$(dirname "$main")")"
done
