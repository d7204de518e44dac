#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/out.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
for source in standin/*.cpp; do
    "${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra -pthread \
        "$source" -o "out/$(basename "$source" .cpp)"
done
