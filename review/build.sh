#!/usr/bin/env bash
# Builds the stand-ins of the review, after the build of the deploy file, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
libraries=(target/liblovage_net.a target/liblovage_settings.a target/liblovage_telemetry.a
    target/liblovage_core.a)
for file in main cases; do
    g++ -std=c++20 -O1 -Iinclude -c "review/harness/$file.cpp" -o "target/review/$file.o"
done
g++ target/review/main.o target/review/cases.o -Wl,--start-group "${libraries[@]}" \
    -Wl,--end-group -lboost_json -lfmt -lurcu-memb -lurcu-common -lssl -lcrypto -lpthread \
    -o target/review/harness
