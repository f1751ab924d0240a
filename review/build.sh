#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
for case in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread \
        "$case" review/stand_ins/stand_ins.cpp -o "target/review/case-$number"
done
