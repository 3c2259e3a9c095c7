# Functions that run a small fleet on loopback, for demo and prove. Sourced, not run.
#
# Two services (valves, diary) of four servers each, routers and assigners over $ZONES
# data centres, one stand-in for the platform. All files go below $OUT; ports begin at $PORT_BASE.

OUT="${OUT:-out/fleet}"
PORT_BASE="${PORT_BASE:-17000}"
ZONES="${ZONES:-2}"
BIN="${BUILD_DIR:-build}"
HOST=127.0.0.1
STORE_PORT=$((PORT_BASE + 1))
PLATFORM_ADMIN_PORT=$((PORT_BASE + 2))

declare -A FLEET_PID

# spawn NAME COMMAND...: starts a process with its output in files of that name, and waits until it
# prints that it listens.
spawn() {
    local name="$1"
    shift
    "$@" >"$OUT/$name.out" 2>>"$OUT/$name.log" &
    FLEET_PID[$name]=$!
    local n
    for n in $(seq 200); do
        grep -q '^listening' "$OUT/$name.out" 2>/dev/null && return 0
        kill -0 "${FLEET_PID[$name]}" 2>/dev/null || break
        sleep 0.05
    done
    echo "$name did not start:" >&2
    tail -n 5 "$OUT/$name.log" >&2
    return 1
}

# stop NAME [SIGNAL]: signals a process and, unless the signal is STOP or CONT, forgets it.
stop() {
    local name="$1" signal="${2:-TERM}" pid="${FLEET_PID[$1]:-}"
    [ -n "$pid" ] || return 0
    kill -"$signal" "$pid" 2>/dev/null || true
    case "$signal" in
    STOP | CONT) ;;
    *)
        wait "$pid" 2>/dev/null
        unset "FLEET_PID[$name]"
        ;;
    esac
}

stop_all() {
    local name
    for name in "${!FLEET_PID[@]}"; do
        kill -CONT "${FLEET_PID[$name]}" 2>/dev/null || true
        kill -KILL "${FLEET_PID[$name]}" 2>/dev/null || true
        wait "${FLEET_PID[$name]}" 2>/dev/null
        unset "FLEET_PID[$name]"
    done
}

zone_of() {
    echo "dc$((($1 - 1) % ZONES + 1))"
}

start_platform() {
    spawn platform "$BIN/camphorrock-fake-platform" --listen "$HOST:$STORE_PORT" \
        --admin "$HOST:$PLATFORM_ADMIN_PORT" --list-lag-ms 500
}

# The server that routers reach through a relay, where RELAYED names one.
RELAYED="${RELAYED:-none}"
RELAY_ADMIN_PORT=$((PORT_BASE + 3))
RELAY_TARGET_PORT=$((PORT_BASE + 4))

start_relay() {
    [ "$RELAYED" = none ] && return 0
    spawn relay "$BIN/camphorrock-relay" --listen "$HOST:$((PORT_BASE + 100 + RELAYED))" \
        --target "$HOST:$RELAY_TARGET_PORT" --admin "$HOST:$RELAY_ADMIN_PORT"
}

# start_server N: servers 1 to 4 are of valves, 5 to 8 of diary; server 8 checks no epochs.
start_server() {
    local n="$1" port="$((PORT_BASE + 100 + $1))" extra=()
    [ "$n" = 8 ] && extra=(--no-check-epoch)
    [ "$n" = "$RELAYED" ] && port="$RELAY_TARGET_PORT"
    spawn "server$n" "$BIN/camphorrock-fake-server" --id "s$n" --listen "$HOST:$port" \
        --admin "$HOST:$((PORT_BASE + 150 + n))" --seed "$n" --short-ms "${SHORT_MS:-5}" \
        --history "$OUT/server$n.$(date +%s%N).jsonl" "${extra[@]}"
}

# caller_port N: where router N takes callers.
caller_port() {
    echo $((PORT_BASE + 200 + $1))
}

start_router() {
    local n="$1"
    cat >"$OUT/router$n.yaml" <<YAML
id: r$n
data_centre: $(zone_of "$n")
listen: $HOST:$(caller_port "$n")
peer: $HOST:$((PORT_BASE + 300 + n))
admin: $HOST:$((PORT_BASE + 400 + n))
store: [$HOST:$STORE_PORT]
platform: $HOST:$STORE_PORT
drain_limit_ms: 10000
YAML
    spawn "router$n" "$BIN/camphorrock-router" --config "$OUT/router$n.yaml"
}

assigner_peer() {
    echo "$HOST:$((PORT_BASE + 500 + $1))"
}

start_assigner() {
    local n="$1"
    cat >"$OUT/assigner$n.yaml" <<YAML
id: a$n
data_centre: $(zone_of "$n")
peer: $(assigner_peer "$n")
admin: $HOST:$((PORT_BASE + 600 + n))
store: [$HOST:$STORE_PORT]
platform: $HOST:$STORE_PORT
YAML
    spawn "assigner$n" "$BIN/camphorrock-assigner" --config "$OUT/assigner$n.yaml"
}

ctl() {
    "$BIN/camphorrock-ctl" --assigner "$(assigner_peer 1)" --assigner "$(assigner_peer 2)" "$@"
}

# Declares the two services.
configure_fleet() {
    local n service
    {
        echo "services:"
        for service in valves diary; do
            echo "  $service:"
            echo "    partitions: ${PARTITIONS:-16}"
            echo "    balance: ${BALANCE:-true}"
            echo "    max_request_ms: 2000"
            echo "    servers:"
            for n in 1 2 3 4; do
                [ "$service" = diary ] && n=$((n + 4))
                echo "      s$n:"
                echo "        endpoint: $HOST:$((PORT_BASE + 100 + n))"
                echo "        data_centre: $(zone_of "$n")"
                [ "$n" = 8 ] && echo "        checks_epoch: false"
            done
        done
        true
    } >"$OUT/services.yaml"
    ctl config patch --base 0 --id first "$OUT/services.yaml"
}

# wait_served SERVICE KEY: until router 1 answers a read of the key with 200; fails after 10 s.
wait_served() {
    local n
    for n in $(seq 200); do
        curl -s -o /dev/null -w '%{http_code}' --max-time 1 \
            "http://$HOST:$(caller_port 1)/$1/$2" 2>/dev/null | grep -q '^200$' && return 0
        sleep 0.05
    done
    return 1
}

# The unavailable time in a load report, in whole milliseconds.
unavailable() {
    sed 's/.*"unavailable":{"keys":[0-9]*,//; s/[{}"]//g; s/\.[0-9]*//g; s/_ms//g; s/,/ /g' "$1"
}

start_fleet() {
    local n
    mkdir -p "$OUT"
    rm -f "$OUT"/*
    start_platform || return 1
    start_relay || return 1
    for n in 1 2 3 4 5 6 7 8; do start_server "$n" || return 1; done
    for n in 1 2 3 4; do start_router "$n" || return 1; done
    for n in 1 2; do start_assigner "$n" || return 1; done
    configure_fleet || return 1
    for n in 1 2 3 4 5 6 7 8 9 10; do
        wait_served valves "quad-$n" || return 1
        wait_served diary "street-$n" || return 1
    done
}
