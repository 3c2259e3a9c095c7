#!/usr/bin/env bash
# Builds the stand-ins of the cases of review 3 into target/review_3 (or $REVIEW_BIN).
# The build of the deploy file comes first; nothing else of the project is needed.
set -euo pipefail
cd "$(dirname "$0")"
bin="${REVIEW_BIN:-../target/review_3}"
mkdir -p "$bin"
common=common_3/testing
build() {
    local name="$1"
    shift
    g++ -std=c++20 -O1 -pthread -o "$bin/$name" "$@"
}
build free_ports $common/free_ports.cpp
for dir in 11 12 13 14 15; do
    [ -e "$dir/testing/case.cpp" ] || continue
    build "case_$dir" "$dir/testing/case.cpp" $common/http.cpp $common/store.cpp $common/upstream.cpp $common/deployment.cpp
done
