#!/usr/bin/env bash
# Case 14; see claim.txt. Exits with 1 if CONFIG was broken, 0 if it held, 2
# if the case could not run. TROUBLE=0: the store loses no answer.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
. "$here/../common_3/run_case.sh"
OWN_STORE_PORTS=yes
start_case "$here" case_14 2
