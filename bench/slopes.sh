#!/usr/bin/env bash
# Measures what a request and a token cost an entry and a sidecar, from runs of several sizes.
# usage: bench/slopes.sh
set -euo pipefail
cd "$(dirname "$0")/.."

readonly API_KEY="slope-key-agency-0001"
# Requests and tokens of each size; half of the requests go straight to the engine.
readonly SIZES=("2000 1" "1000 16" "500 64" "250 256")

cargo build --release --locked --quiet
# shellcheck source=bench/lib.sh
source bench/lib.sh
engine_fleet 1 --decode-us 200 --prefill-us 0
hertz=$(getconf CLK_TCK)
for size in "${SIZES[@]}"; do
    read -r requests tokens <<<"$size"
    entry_before=$(ticks '^entry$') sidecar_before=$(ticks '^sidecar')
    "$bin/bulrushslip-load" path --entry "$entry" --engine "$(address engine-1 engine)" \
        --api-key "$API_KEY" --requests "$requests" --tokens "$tokens" >/dev/null
    entry_used=$(($(ticks '^entry$') - entry_before))
    sidecar_used=$(($(ticks '^sidecar') - sidecar_before))
    awk -v n="$requests" -v t="$tokens" -v e="$entry_used" -v s="$sidecar_used" -v hz="$hertz" \
        'BEGIN {printf "%4d requests of %3d tokens: entry %7.0f us, sidecar %7.0f us a request\n",
            n, t, 1e6 * e / hz / n, 1e6 * s / hz / n}'
done
echo "resident: entry $(resident_mb '^entry$') MB, sidecar $(resident_mb '^sidecar') MB"
