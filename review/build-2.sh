#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10 into target/review-2/.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
g++ -std=c++20 -O2 -pthread -I"$root/review/harness-2" "$root/review/harness-2/cases.cpp" \
    -o "$root/target/review-2/cases"
