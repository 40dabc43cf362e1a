#!/usr/bin/env bash
# Measures what an idle fleet costs: processor time, memory and loopback bytes for each process.
# usage: bench/idle.sh [ENTRIES] [SIDECARS] [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."

readonly ENTRIES=${1:-8}
readonly SIDECARS=${2:-40}
readonly SECONDS_MEASURED=${3:-20}
readonly SETTLE_S=5

cargo build --release --locked --quiet
# shellcheck source=bench/lib.sh
source bench/lib.sh
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
${CARGO_TARGET_DIR:-target}/release/bulrushslip-ctl apply --platform "$platform" "$work/changes.json" >"$work/apply.out"
sleep "$SETTLE_S"

loopback_bytes() { awk '$1 == "lo:" {print $2}' /proc/net/dev; }
declare -A before
for role in entry sidecar platform engine; do
    before[$role]=$(ticks "^$role")
done
bytes=$(loopback_bytes)
sleep "$SECONDS_MEASURED"
bytes=$(($(loopback_bytes) - bytes))
hertz=$(getconf CLK_TCK)
declare -A count=([entry]=$ENTRIES [sidecar]=$SIDECARS [platform]=1 [engine]=1)
for role in entry sidecar platform engine; do
    awk -v role="$role" -v n="${count[$role]}" -v used="$(($(ticks "^$role") - before[$role]))" \
        -v hertz="$hertz" -v seconds="$SECONDS_MEASURED" -v memory="$(resident_mb "^$role")" \
        'BEGIN {printf "%-9s n=%-4d cpu %.3f%% of a core each, resident at most %.1f MB\n",
            role, n, 100 * used / n / hertz / seconds, memory}'
done
echo "loopback: $((bytes / SECONDS_MEASURED / (ENTRIES + SIDECARS))) bytes/s for each entry or \
sidecar, its engine and platform calls included"
