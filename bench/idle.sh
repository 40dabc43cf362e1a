#!/usr/bin/env bash
# Measures what an idle fleet costs: processor time, memory and loopback bytes for each process.
# usage: bench/idle.sh [ENTRIES] [SIDECARS] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."

readonly ENTRIES=${1:-8}
readonly SIDECARS=${2:-40}
readonly SECONDS_MEASURED=${3:-20}
readonly START_TIMEOUT_S=30
readonly SETTLE_S=5

cargo build --release --locked --quiet
work=$(mktemp -d)
pids=()
stop_all() {
    kill -TERM "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

start() {
    local name=$1 binary=$2
    shift 2
    "target/release/$binary" "$@" >"$work/$name.out" 2>"$work/$name.err" &
    pids+=($!)
    echo $! >"$work/$name.pid"
}
address() {
    local deadline=$((SECONDS + START_TIMEOUT_S)) line
    while ((SECONDS < deadline)); do
        line=$(grep -m1 "^listening $2 " "$work/$1.out" 2>/dev/null || true)
        if [ -n "$line" ]; then
            echo "${line##* }"
            return
        fi
        sleep 0.05
    done
    echo "$1 did not open its port" >&2
    return 1
}

start platform bulrushslip-standin platform --listen 127.0.0.1:0
platform=$(address platform platform)
start engine bulrushslip-standin engine --listen 127.0.0.1:0 --model m --version v1
engine=$(address engine engine)
changes='{"put_model":{"name":"m","version":"v1"}}'
for ((n = 0; n < SIDECARS; n++)); do
    start "sidecar$n" bulrushslip-sidecar --listen 127.0.0.1:0 --operator-listen 127.0.0.1:0 \
        --platform "$platform" --name "s$n" --data-centre d --upstream "u$n" --engine "$engine"
    sidecar=$(address "sidecar$n" sidecar)
    changes+=",{\"put_upstream\":{\"name\":\"u$n\",\"data_centre\":\"d\",\"sidecar\":\"$sidecar\","
    changes+="\"kind\":{\"engine\":{\"model\":\"m\",\"version\":\"v1\"}},\"slots\":8}}"
done
for ((n = 0; n < ENTRIES; n++)); do
    start "entry$n" bulrushslip-entry --listen 127.0.0.1:0 --operator-listen 127.0.0.1:0 \
        --platform "$platform" --name "e$n" --data-centre d
done
echo "[$changes]" >"$work/changes.json"
target/release/bulrushslip-ctl apply --platform "$platform" "$work/changes.json" >"$work/apply.out"
sleep "$SETTLE_S"

ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
loopback_bytes() { awk '$1 == "lo:" {print $2}' /proc/net/dev; }
declare -A before
for file in "$work"/*.pid; do
    pid=$(<"$file")
    before[$pid]=$(ticks "$pid")
done
bytes=$(loopback_bytes)
sleep "$SECONDS_MEASURED"
bytes=$(($(loopback_bytes) - bytes))
hertz=$(getconf CLK_TCK)
for role in entry sidecar platform engine; do
    for file in "$work/$role"*.pid; do
        pid=$(<"$file")
        used=$(($(ticks "$pid") - ${before[$pid]}))
        memory=$(awk '/^VmRSS/ {print $2}' "/proc/$pid/status")
        echo "$role $used $memory"
    done
done | awk -v hertz="$hertz" -v seconds="$SECONDS_MEASURED" '
    {n[$1]++; cpu[$1] += $2; memory[$1] += $3; if ($3 > most[$1]) most[$1] = $3}
    END {for (role in n) printf "%-9s n=%-4d cpu %.3f%% of a core, memory mean %.1f MB, most %.1f MB\n",
        role, n[role], 100 * cpu[role] / n[role] / hertz / seconds, memory[role] / n[role] / 1024,
        most[role] / 1024}'
echo "loopback $((bytes / SECONDS_MEASURED)) bytes/s in all, \
$((bytes / SECONDS_MEASURED / (ENTRIES + SIDECARS))) bytes/s for each entry or sidecar, engine polls included"
