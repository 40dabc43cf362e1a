#!/usr/bin/env bash
# Measures what the path adds to calls of a stand-in engine, and what each process costs.
# usage: bench/path.sh [RUNS]
set -euo pipefail
cd "$(dirname "$0")/.."

readonly RUNS=${1:-5}
readonly API_KEY="path-key-agency-0001"
readonly START_TIMEOUT_S=20
readonly IDLE_S=10

cargo build --release --locked --quiet
bin=target/release
work=$(mktemp -d)
pids=()
names=()
stop_all() {
    kill -TERM "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

start() {
    local name=$1 binary=$2
    shift 2
    "$bin/$binary" "$@" >"$work/$name.out" 2>"$work/$name.err" &
    pids+=($!)
    names+=("$name")
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
    echo "$1 did not open its port $2" >&2
    return 1
}

start platform bulrushslip-standin platform --listen 127.0.0.1:0
platform=$(address platform platform)
common=(--listen 127.0.0.1:0 --operator-listen 127.0.0.1:0 --platform "$platform" --data-centre d)
changes='{"put_model":{"name":"model","version":"v1"}},'
changes+="{\"put_customer\":{\"name\":\"agency\",\"ranks\":[\"urgent\"],\"max_in_flight\":64,"
changes+="\"bearer_hashes\":[\"$("$bin/bulrushslip-ctl" hash "$API_KEY")\"]}}"
for n in 1 2 3; do
    start "engine-$n" bulrushslip-standin engine --listen 127.0.0.1:0 --decode-us 2000
    start "sidecar-$n" bulrushslip-sidecar "${common[@]}" --name "sidecar-$n" \
        --upstream "engine-$n" --engine "$(address "engine-$n" engine)"
    changes+=",{\"put_upstream\":{\"name\":\"engine-$n\",\"data_centre\":\"d\",\"slots\":8,"
    changes+="\"sidecar\":\"$(address "sidecar-$n" sidecar)\","
    changes+="\"kind\":{\"engine\":{\"model\":\"model\",\"version\":\"v1\"}}}}"
done
start entry bulrushslip-entry "${common[@]}" --name entry --leave-ms 0
echo "[$changes]" >"$work/changes.json"
"$bin/bulrushslip-ctl" apply --force --platform "$platform" "$work/changes.json" >/dev/null
entry=$(address entry entry)
deadline=$((SECONDS + START_TIMEOUT_S))
until "$bin/bulrushslip-ctl" request --entry "$entry" --api-key "$API_KEY" --model model x \
    >/dev/null 2>&1; do
    ((SECONDS < deadline)) || exit 1
    sleep 0.05
done


ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
memory() { awk '/^VmRSS/ {printf "%.1f", $2 / 1024}' "/proc/$1/status"; }

for ((run = 1; run <= RUNS; run++)); do
    echo "run $run"
    "$bin/bulrushslip-load" path --entry "$entry" --engine "$(address engine-1 engine)" \
        --api-key "$API_KEY"
done

echo "idle for $IDLE_S s, after the runs"
before=()
for pid in "${pids[@]}"; do
    before+=("$(ticks "$pid")")
done
sleep "$IDLE_S"
hertz=$(getconf CLK_TCK)
for i in "${!pids[@]}"; do
    used=$(($(ticks "${pids[$i]}") - before[i]))
    percent=$(awk -v t="$used" -v h="$hertz" -v s="$IDLE_S" 'BEGIN {printf "%.1f", 100 * t / h / s}')
    echo "${names[$i]}: cpu $percent% of a core, resident $(memory "${pids[$i]}") MB"
done
