#!/usr/bin/env bash
# Case 12; see claim.txt. Exits with 1 if REFUSED or TWICE was broken, 0 if they held, 2
# if the case could not run. TROUBLE=0: without the replacements.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
. "$here/../common_3/run_case.sh"
start_case "$here" case_12 "${GATEWAYS:-2}"
