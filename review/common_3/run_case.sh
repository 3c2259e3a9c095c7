# Starts the gateways of a case and its stand-ins. Sourced by the run.sh of a case.
#
# start_case FOLDER PROGRAM GATEWAYS: starts PROGRAM, which has the store, the upstreams
# and the clients, then that many gateways by the command of the deploy file, and exits
# with the program's status once it has ended. The program prints what is to be done to
# gateways, "TERM N", "KILL N", "START N" (once it has ended), "STOP N" or "CONT N"; its
# other lines are shown.
#
# OWN_STORE_PORTS=yes: each gateway reaches the store at a port of its own, and PROGRAM gets
# a list of them. PROCESSORS: the cores of each gateway, by its number; 0.2 unless it is set.

ROOT="$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)"
BIN="${REVIEW_BIN:-$ROOT/target/review_3}"
GATEWAY="${GATEWAY:-$ROOT/target/camphorrock-gateway}"
CASE_PIDS=()
declare -a PROCESSORS

# Ends the processes that this script started. One that has ended already, whose id may
# belong to another process by now, is left alone.
stop_case() {
    local pid
    for pid in "${CASE_PIDS[@]}"; do
        grep -qs "^PPid:[[:space:]]*$$\$" "/proc/$pid/status" || continue
        kill -CONT "$pid" 2>/dev/null
        kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    [ -n "${CASE_DIR:-}" ] && [ -z "${KEEP_LOGS:-}" ] && rm -rf "$CASE_DIR"
}

# write_settings N ZONE: the settings file of gateway N, as the template fills it in.
write_settings() {
    local n="$1"
    cat >"$CASE_DIR/gateway$n.yaml" <<YAML
id: "front-$n"
zone: "z"
listen: "127.0.0.1:${LISTEN[n]}"
ready: "127.0.0.1:${READY[n]}"
peer: "127.0.0.1:${PEER[n]}"
store: "127.0.0.1:${STORES[n]:-$STORE}"
processors: ${PROCESSORS[n]:-0.2}
bounds:
  - "drain=2500ms"
  - "grace=6s"
  - "hold_max=10000ms"
  - "retry_budget_ratio=0.2"
  - "budget_window=10s"
  - "retry_budget_slack=164"
  - "memory_mb=260"
  - "value_bytes=1048576"
YAML
}

start_gateway() {
    "$GATEWAY" --config "$CASE_DIR/gateway$1.yaml" >>"$CASE_DIR/gateway$1.log" 2>&1 &
    GATEWAY_PID[$1]=$!
    CASE_PIDS+=($!)
}

start_case() {
    local folder="$1" program="$2" count="$3" n ports
    [ -x "$BIN/$program" ] && [ -x "$GATEWAY" ] || { echo "not built"; exit 2; }
    CASE_DIR="$(mktemp -d)" || exit 2
    trap stop_case EXIT
    read -r -a ports < <("$BIN/free_ports" $((1 + 4 * count)))
    STORE="${ports[0]}" STORES=()
    LISTEN=() READY=() PEER=() GATEWAY_PID=()
    for n in $(seq "$count"); do
        LISTEN[n]="${ports[3 * n - 2]}" READY[n]="${ports[3 * n - 1]}" PEER[n]="${ports[3 * n]}"
        [ "${OWN_STORE_PORTS:-no}" = yes ] && STORES[n]="${ports[3 * count + n]}"
        write_settings "$n"
    done
    [ "${OWN_STORE_PORTS:-no}" = yes ] && STORE="$(IFS=,; echo "${STORES[*]}")"
    exec 3< <(exec "$BIN/$program" "$STORE" "$(IFS=,; echo "${LISTEN[*]}")" \
        "$(IFS=,; echo "${READY[*]}")" "$folder/record.txt" "${TROUBLE:-1}")
    local stand_ins=$! line word
    CASE_PIDS+=("$stand_ins")
    for n in $(seq "$count"); do start_gateway "$n"; done
    while read -r line <&3; do
        read -r word n <<<"$line"
        case "$word" in
        KILL) kill -KILL "${GATEWAY_PID[n]}" && wait "${GATEWAY_PID[n]}" 2>/dev/null ;;
        TERM | STOP | CONT) kill "-$word" "${GATEWAY_PID[n]}" ;;
        START) wait "${GATEWAY_PID[n]}" 2>/dev/null; start_gateway "$n" ;;
        *) echo "$line" ;;
        esac
    done
    wait "$stand_ins"
    exit $?
}
