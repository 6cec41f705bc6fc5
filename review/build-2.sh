#!/usr/bin/env bash
# Builds the programs of this review's scripts into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/lab2/*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -pthread -o "target/review-2/$name" "$source" \
    -lboost_json
done
