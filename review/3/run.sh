#!/usr/bin/env bash
# Plays the case of claim.txt with target/camphorrock-gateway. Exits with 1 if the rule was broken, 0
# if it held, 2 if the case couldn't run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 target/review/drain_case target/camphorrock-gateway "$folder" review/3/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
