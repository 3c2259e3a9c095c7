#!/usr/bin/env bash
# Builds the stand-ins of all cases into target/review/. Needs no network. Run it after the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/testing/*_case.cpp; do
    name="$(basename "$source" .cpp)"
    g++ -std=c++20 -O1 -pthread -I. "$source" -o "target/review/$name" &
done
failed=0
for job in $(jobs -p); do wait "$job" || failed=1; done
exit "$failed"
