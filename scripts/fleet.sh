# Functions that run a small fleet on loopback, for demo, demo_platform, measure and prove. Sourced,
# not run.
#
# The fleet has two services (valves, diary) of four fake servers each, four routers and two
# assigners in $ZONES data centres, and one fake platform. All files go below $OUT; ports begin at
# $PORT_BASE.

OUT="${OUT:-out/fleet}"
PORT_BASE="${PORT_BASE:-17000}"
ZONES="${ZONES:-2}"
BIN="${BUILD_DIR:-build}"
HOST=127.0.0.1
STORE_PORT=$((PORT_BASE + 1))
PLATFORM_ADMIN_PORT=$((PORT_BASE + 2))

# The running processes: process id by name.
declare -A FLEET_PID

# spawn NAME COMMAND...: starts a process with its output in files of that name, and waits until it
# prints that it listens. Fails after 10 s, or as soon as the process ends.
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
    echo "$name did not start listening; its log ends with:" >&2
    tail -n 20 "$OUT/$name.log" >&2
    return 1
}

# stop NAME [SIGNAL]: sends a signal (default: TERM) to a process. Unless the signal is STOP or
# CONT, waits for the process to exit and removes it from FLEET_PID. Does nothing if the name is
# unknown.
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

# Kills all processes, including those that are stopped.
stop_all() {
    local name
    for name in "${!FLEET_PID[@]}"; do
        kill -CONT "${FLEET_PID[$name]}" 2>/dev/null || true
        kill -KILL "${FLEET_PID[$name]}" 2>/dev/null || true
        wait "${FLEET_PID[$name]}" 2>/dev/null
        unset "FLEET_PID[$name]"
    done
}

# zone_of N: the data centre of server, router or assigner N.
zone_of() {
    echo "dc$((($1 - 1) % ZONES + 1))"
}

start_platform() {
    spawn platform "$BIN/camphorrock-fake-platform" --listen "$HOST:$STORE_PORT" \
        --admin "$HOST:$PLATFORM_ADMIN_PORT" --list-lag-ms 500
}

# RELAYED is the number of the server that routers reach through a relay; none: all are reached
# directly.
RELAYED="${RELAYED:-none}"
RELAY_ADMIN_PORT=$((PORT_BASE + 3))
RELAY_TARGET_PORT=$((PORT_BASE + 4))

start_relay() {
    [ "$RELAYED" = none ] && return 0
    spawn relay "$BIN/camphorrock-relay" --listen "$HOST:$((PORT_BASE + 100 + RELAYED))" \
        --target "$HOST:$RELAY_TARGET_PORT" --admin "$HOST:$RELAY_ADMIN_PORT"
}

# With RELAYED_PEERS=yes, routers and assigners reach each other and the platform only through
# relays: one for each peer port and one for the platform. Each process connects from an IP address
# of its own, by which a relay distinguishes its connections from those of other processes.
RELAYED_PEERS="${RELAYED_PEERS:-no}"

# source_ip r1|r2|...|a1|a2|...: the source IP address of the connections of an instance.
source_ip() {
    case "$1" in
    r*) echo "127.0.0.$((10 + ${1#r}))" ;;
    a*) echo "127.0.0.$((20 + ${1#a}))" ;;
    esac
}

# relay_port r1|...|a1|...|store: the port on which the relay of a target listens; the relay's admin
# port is 50 higher.
relay_port() {
    case "$1" in
    r*) echo $((PORT_BASE + 700 + ${1#r})) ;;
    a*) echo $((PORT_BASE + 710 + ${1#a})) ;;
    store) echo $((PORT_BASE + 720)) ;;
    esac
}

# start_peer_relay r1|...|a1|...|store TARGET_PORT: starts the relay of a target.
start_peer_relay() {
    spawn "relay-$1" "$BIN/camphorrock-relay" --listen "$HOST:$(relay_port "$1")" \
        --target "$HOST:$2" --admin "$HOST:$(($(relay_port "$1") + 50))"
}

start_peer_relays() {
    local n
    [ "$RELAYED_PEERS" = yes ] || return 0
    for n in 1 2 3 4; do start_peer_relay "r$n" $((PORT_BASE + 300 + n)) || return 1; done
    for n in 1 2; do start_peer_relay "a$n" $((PORT_BASE + 500 + n)) || return 1; done
    start_peer_relay store "$STORE_PORT"
}

# part MODE ONE OTHER: sets a relay fault (pass: none) in both directions between two of r1, ...,
# a1, ..., store. A connection is relayed at its target, and the store opens none.
part() {
    local at from
    for at in "$2:$3" "$3:$2"; do
        from="${at#*:}" at="${at%:*}"
        [ "$from" = store ] && continue
        curl -s -o /dev/null -X POST \
            "http://$HOST:$(($(relay_port "$at") + 50))/fault?mode=$1&source=$(source_ip "$from")"
    done
}

# network_settings r1|...|a1|...: the lines of an instance's settings file with the addresses of the
# store and the platform and, with RELAYED_PEERS=yes, its own advertised and source addresses.
network_settings() {
    local store="$STORE_PORT"
    if [ "$RELAYED_PEERS" = yes ]; then
        store="$(relay_port store)"
        echo "advertise: $HOST:$(relay_port "$1")"
        echo "source: $(source_ip "$1")"
    fi
    echo "store: [$HOST:$store]"
    echo "platform: $HOST:$store"
}

# start_server N: servers 1 to 4 serve valves, 5 to 8 diary; server 8 does not check epochs.
start_server() {
    local n="$1" port="$((PORT_BASE + 100 + $1))" extra=()
    [ "$n" = 8 ] && extra=(--no-check-epoch)
    [ "$n" = "$RELAYED" ] && port="$RELAY_TARGET_PORT"
    spawn "server$n" "$BIN/camphorrock-fake-server" --id "s$n" --listen "$HOST:$port" \
        --admin "$HOST:$((PORT_BASE + 150 + n))" --seed "$n" --short-ms "${SHORT_MS:-5}" \
        --history "$OUT/server$n.$(date +%s%N).jsonl" "${extra[@]}"
}

# caller_port N: the port on which router N accepts callers.
caller_port() {
    echo $((PORT_BASE + 200 + $1))
}

# admin_address N: the address at which router N serves its metrics.
admin_address() {
    echo "$HOST:$((PORT_BASE + 400 + $1))"
}

start_router() {
    local n="$1"
    cat >"$OUT/router$n.yaml" <<YAML
id: r$n
data_centre: $(zone_of "$n")
listen: $HOST:$(caller_port "$n")
peer: $HOST:$((PORT_BASE + 300 + n))
admin: $(admin_address "$n")
$(network_settings "r$n")
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
$(network_settings "a$n")
YAML
    spawn "assigner$n" "$BIN/camphorrock-assigner" --config "$OUT/assigner$n.yaml"
}

ctl() {
    "$BIN/camphorrock-ctl" --assigner "$(assigner_peer 1)" --assigner "$(assigner_peer 2)" "$@"
}

# Prints the number of an assigner that holds a shard; fails if none does.
holder() {
    local status
    status=$(ctl --json status 2>/dev/null)
    grep -q '"held_here":true' <<<"$status" || return 1
    sed 's/.*"held_here":true[^}]*"seen_by":"a\([0-9]\)".*/\1/' <<<"$status"
}

# Declares the two services in the configuration document.
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

# wait_served SERVICE KEY: waits until router 1 answers a read of the key with 200. Fails after 200
# tries, about 10 s.
wait_served() {
    local n
    for n in $(seq 200); do
        curl -s -o /dev/null -w '%{http_code}' --max-time 1 \
            "http://$HOST:$(caller_port 1)/$1/$2" 2>/dev/null | grep -q '^200$' && return 0
        sleep 0.05
    done
    return 1
}

# unavailable FILE: the quantiles of the probed keys' unavailable time in a load report, in whole
# milliseconds.
unavailable() {
    sed 's/.*"unavailable":{"keys":[0-9]*,//; s/[{}"]//g; s/\.[0-9]*//g; s/_ms//g; s/,/ /g' "$1"
}

# Empties $OUT, starts all processes and waits until both services are served.
start_fleet() {
    local n
    mkdir -p "$OUT"
    rm -f "$OUT"/*
    start_platform || return 1
    start_relay || return 1
    start_peer_relays || return 1
    for n in 1 2 3 4 5 6 7 8; do start_server "$n" || return 1; done
    for n in 1 2 3 4; do start_router "$n" || return 1; done
    for n in 1 2; do start_assigner "$n" || return 1; done
    configure_fleet || return 1
    for n in 1 2 3 4 5 6 7 8 9 10; do
        wait_served valves "quad-$n" || { show_fleet "valves/quad-$n"; return 1; }
        wait_served diary "street-$n" || { show_fleet "diary/street-$n"; return 1; }
    done
}

# show_fleet SERVICE/KEY: prints the state of the fleet and of a key that is not served, to diagnose
# a failed start.
show_fleet() {
    local name
    echo "$1 is not served after 10 s; router 1 answers:"
    curl -s -i --max-time 2 "http://$HOST:$(caller_port 1)/$1"
    echo
    ctl status
    ctl explain "${1%/*}" "${1#*/}"
    show_logs 15
}

# show_logs N: prints the last N lines of the log of each process.
show_logs() {
    local name
    for name in "$OUT"/*.log; do
        echo "-- ${name##*/}"
        tail -n "$1" "$name"
    done
}
