#!/usr/bin/env bash
# Builds and starts a small fleet on loopback, sends streamed requests through it, prints answer,
# hit counts and a dump, and stops what it started. With --keep it serves until SIGINT or SIGTERM.
set -euo pipefail
cd "$(dirname "$0")"

readonly API_KEY="demo-key-agency-0001"
readonly MODEL="reviewer"
readonly built=${CARGO_TARGET_DIR:-target}/release
readonly START_TIMEOUT_S=20
readonly POLL_PAUSE_S=0.05

keep=no
case "${1:-}" in
    "") ;;
    --keep) keep=yes ;;
    *)
        echo "usage: ./demo.sh [--keep]" >&2
        exit 2
        ;;
esac

work=$(mktemp -d)
pids=()
stop_all() {
    local pid
    # Entries were started last and stop first, while their upstreams still answer.
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        pid=${pids[$i]}
        kill -TERM "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$work"
}
trap stop_all EXIT
stopping=no
trap 'stopping=yes; [ "$keep" = yes ] || exit 130' INT TERM

# start NAME BINARY ARGUMENT...: runs a binary in the background.
start() {
    local name=$1 binary=$2
    shift 2
    "$built/$binary" "$@" >"$work/$name.out" 2>"$work/$name.err" &
    pids+=($!)
}

# address NAME ROLE: waits until the process has opened its port and prints the address.
address() {
    local deadline=$((SECONDS + START_TIMEOUT_S)) line
    while ((SECONDS < deadline)); do
        line=$(grep -m1 "^listening $2 " "$work/$1.out" || true)
        if [ -n "$line" ]; then
            echo "${line##* }"
            return
        fi
        sleep "$POLL_PAUSE_S"
    done
    echo "$1 did not open its port $2" >&2
    cat "$work/$1.err" >&2
    return 1
}

# until_shown TEXT COMMAND...: repeats a command until its output has the text.
until_shown() {
    local text=$1 deadline=$((SECONDS + START_TIMEOUT_S))
    shift
    while ((SECONDS < deadline)); do
        if "$@" 2>/dev/null | grep -q "$text"; then
            return
        fi
        sleep "$POLL_PAUSE_S"
    done
    echo "'$*' did not show '$text'" >&2
    return 1
}

echo "Building"
cargo build --release --locked --quiet
ctl=$built/bulrushslip-ctl

echo "Starting stand-ins, three sidecars and two entries"
start platform bulrushslip-standin platform --listen 127.0.0.1:0
start engine-1 bulrushslip-standin engine --listen 127.0.0.1:0 --model "$MODEL"
start engine-2 bulrushslip-standin engine --listen 127.0.0.1:0 --model "$MODEL"
start gates bulrushslip-standin plain --listen 127.0.0.1:0 --name gates
platform=$(address platform platform)

# process NAME BINARY ARGUMENT...: starts an entry or a sidecar.
process() {
    local name=$1 binary=$2
    shift 2
    start "$name" "$binary" --listen 127.0.0.1:0 --operator-listen 127.0.0.1:0 \
        --platform "$platform" --name "$name" --data-centre caerdydd "$@"
}
process sidecar-1 bulrushslip-sidecar --upstream engine-1 --engine "$(address engine-1 engine)"
process sidecar-2 bulrushslip-sidecar --upstream engine-2 --engine "$(address engine-2 engine)"
process sidecar-3 bulrushslip-sidecar --upstream gates-1 --plain "$(address gates plain)"
process entry-1 bulrushslip-entry --leave-ms 0
process entry-2 bulrushslip-entry --leave-ms 0

echo "Declaring the configuration"
engine="{\"engine\": {\"model\": \"$MODEL\", \"version\": \"v1\"}}"
plain='{"plain": {"service": "gates"}}'
cat >"$work/changes.json" <<EOF
[
  {"put_model": {"name": "$MODEL", "version": "v1", "piece_bytes": 256}},
  {"put_service": {"name": "gates"}},
  {"put_customer": {"name": "agency", "bearer_hashes": ["$("$ctl" hash "$API_KEY")"],
    "ranks": ["urgent", "routine"], "max_in_flight": 64}},
  {"put_upstream": {"name": "engine-1", "data_centre": "caerdydd", "slots": 8,
    "sidecar": "$(address sidecar-1 sidecar)", "kind": $engine}},
  {"put_upstream": {"name": "engine-2", "data_centre": "caerdydd", "slots": 8,
    "sidecar": "$(address sidecar-2 sidecar)", "kind": $engine}},
  {"put_upstream": {"name": "gates-1", "data_centre": "caerdydd", "slots": 8,
    "sidecar": "$(address sidecar-3 sidecar)", "kind": $plain}}
]
EOF
"$ctl" apply --platform "$platform" --force "$work/changes.json"
for name in entry-1 entry-2; do
    until_shown '"name": "gates-1"' "$ctl" dump --operator "$(address "$name" operator)"
done
for name in sidecar-1 sidecar-2; do
    until_shown '"engine": "Up' "$ctl" dump --operator "$(address "$name" operator)"
done

system=$(printf 'Site rules of the reservoir, section %d. ' {1..60})
ask() {
    "$ctl" request --entry "$(address "$1" entry)" --api-key "$API_KEY" --model "$MODEL" \
        --rank urgent --max-tokens 16 --system "$system" "$2"
}
echo "Streaming an answer through entry-1"
ask entry-1 "Is gate four ready to be cloned?"
echo "Streaming a second one, with the same long start, through entry-2"
ask entry-2 "Is gate five ready to be cloned?"

# engine_stats NAME: prints what a stand-in engine has counted.
engine_stats() {
    local engine
    engine=$(address "$1" engine)
    exec 3<>"/dev/tcp/${engine%:*}/${engine##*:}"
    printf 'GET /admin/stats HTTP/1.1\r\nhost: %s\r\nconnection: close\r\n\r\n' "$engine" >&3
    tail -n 1 <&3
    exec 3<&-
    echo
}
echo "Cache hits and misses of the engines, in prompt pieces"
for name in engine-1 engine-2; do
    printf '%s: ' "$name"
    engine_stats "$name"
done

echo "State of entry-1 and of the sidecars"
for name in entry-1 sidecar-1 sidecar-2 sidecar-3; do
    echo "$name:"
    "$ctl" dump --operator "$(address "$name" operator)"
done

if [ "$keep" = yes ]; then
    echo "BASE_URL=http://$(address entry-1 entry)/v1"
    echo "API_KEY=$API_KEY"
    while [ "$stopping" = no ]; do
        # A signal ends the wait; so does a process that has ended by itself.
        if wait -n "${pids[@]}" 2>/dev/null || [ "$stopping" = no ]; then
            echo "a process has ended by itself" >&2
            exit 1
        fi
    done
    echo "Stopping"
fi
