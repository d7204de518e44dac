#!/usr/bin/env bash
# Builds the program that runs the scripts of this review: stand-ins of the
# platform, the engines and the clients. Needs the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
objects=()
jobs_started=()
for source in review/standin-3/*.cpp; do
    object="target/review-3/$(basename "$source" .cpp).o"
    g++ -std=c++20 -O1 -g -pthread -c "$source" -o "$object" &
    objects+=("$object")
    jobs_started+=($!)
done
for job in "${jobs_started[@]}"; do
    wait "$job"
done
g++ -pthread "${objects[@]}" -o target/review-3/review_cases_3
