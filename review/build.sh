#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ -std=c++17 -O1 -g -Wall -Wextra -pthread -I review/standins "$source" \
    -o "target/review/case$number"
done
