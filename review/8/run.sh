#!/usr/bin/env bash
# Runs case 8; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
program="target/review-2/case-8"
[ -x "$program" ] && [ -x target/camphorrock-gateway ] || exit 2
tmp="$(mktemp -d)" || exit 2
"$program" "$folder" "$tmp"
status=$?
rm -rf "$tmp"
[ "$status" -le 2 ] || status=2
exit "$status"
