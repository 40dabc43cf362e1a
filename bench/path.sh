#!/usr/bin/env bash
# Measures what the path adds to calls of a stand-in engine, and what each process costs.
# usage: bench/path.sh [RUNS]
set -euo pipefail
cd "$(dirname "$0")/.."

readonly RUNS=${1:-5}
readonly API_KEY="path-key-agency-0001"
readonly IDLE_S=10

cargo build --release --locked --quiet
# shellcheck source=bench/lib.sh
source bench/lib.sh
engine_fleet 3 --decode-us 2000

for ((run = 1; run <= RUNS; run++)); do
    echo "run $run"
    "$bin/bulrushslip-load" path --entry "$entry" --engine "$(address engine-1 engine)" \
        --api-key "$API_KEY"
done

echo "idle for $IDLE_S s, after the runs"
declare -A before
for name in "${names[@]}"; do
    before[$name]=$(ticks "^$name\$")
done
sleep "$IDLE_S"
hertz=$(getconf CLK_TCK)
for name in "${names[@]}"; do
    used=$(($(ticks "^$name\$") - before[$name]))
    percent=$(awk -v t="$used" -v h="$hertz" -v s="$IDLE_S" 'BEGIN {printf "%.1f", 100 * t / h / s}')
    echo "$name: cpu $percent% of a core, resident $(resident_mb "^$name\$") MB"
done
