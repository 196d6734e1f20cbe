#!/usr/bin/env bash
# Builds the programs of the cases into target/review/. Needs what the deploy file's packages bring: g++ and Boost.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread -Ireview/standin -o "target/review/case-$number" "$source" -lboost_json
done
