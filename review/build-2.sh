#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 into target/review-2/. Needs g++ and the
# headers of nlohmann-json3-dev, which the deploy file lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/{6,7,8,9,10}/testing/*.cpp; do
    [ -e "$source" ] || continue
    name="case-$(basename "$(dirname "$(dirname "$source")")")"
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review-2/$name" "$source"
done
