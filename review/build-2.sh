#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review (review/6 to review/10) into target/review-2/. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cpp; do
    number=$(basename "$(dirname "$source")")
    if [ "$number" -ge 6 ]; then
        g++ -std=c++20 -O1 -pthread "$source" -o "target/review-2/case-$number" -lboost_json
    fi
done
