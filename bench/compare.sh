#!/usr/bin/env bash
# Runs the same seeded load against one fleet for each policy and prints the figures.
#
# Usage: bench/compare.sh [POLICY ...] [-- OPTION ...]
#   POLICY: standard, random-fifo, two-choices or one-level; the last one is the baseline.
#   OPTION: passed to `bulrushslip-load run`.
# Variables: ENGINES (12), ENTRIES (2), ENGINE_OPTIONS, OUT (directory for logs and JSON),
#   SHARE_FROM and SHARE_UNTIL (seconds of the run between which the service by rank is shown).
# All processes listen on loopback and are ended by their ids when the script ends.
set -euo pipefail
cd "$(dirname "$0")/.."

engines=${ENGINES:-12}
entries=${ENTRIES:-2}
engine_options=${ENGINE_OPTIONS:---slots 8 --cache-pieces 300 --prefill-us 60000 --decode-us 5000}
out=${OUT:-$(mktemp -d)}
centres=(caerdydd abertawe aberystwyth bangor)
bin=${BIN:-${CARGO_TARGET_DIR:-target}/release}

policies=()
while [ $# -gt 0 ] && [ "$1" != -- ]; do
    policies+=("$1")
    shift
done
[ "${1:-}" = -- ] && shift
[ ${#policies[@]} -gt 0 ] || policies=(standard random-fifo)

pids=()
finish() {
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait
}
trap finish EXIT

# Starts a stand-in and prints nothing; its address is left in $address.
standin() {
    local log=$1
    shift
    "$bin/bulrushslip-standin" "$@" --listen 127.0.0.1:0 >"$log" 2>&1 &
    pids+=($!)
    address=
    for _ in $(seq 100); do
        address=$(awk '$1 == "listening" { print $3; exit }' "$log" 2>/dev/null || true)
        [ -n "$address" ] && return
        sleep 0.05
    done
    echo "no address in $log" >&2
    exit 1
}

# Ports below the range of the system for outgoing connections.
port=${FIRST_PORT:-11000}
next_port() {
    port=$((port + 1))
}

# Starts one fleet and appends its target to $targets.
fleet() {
    local policy=$1 dir=$out/$1 engine_list='' entry_list='' changes='' n centre platform
    mkdir -p "$dir"
    standin "$dir/platform" platform
    platform=$address
    changes='{"put_model":{"name":"model","version":"v1","piece_bytes":128}}'
    for n in $(seq 0 7); do
        hash=$("$bin/bulrushslip-ctl" hash "key-$n")
        changes+=',{"put_customer":{"name":"customer-'$n'","bearer_hashes":["'$hash'"],'
        changes+='"ranks":["routine","urgent"],"weight":1,"max_in_flight":64,"placement_pieces":5}}'
    done
    changes+=',{"put_rank":{"rank":"urgent","floor_percent":20,"start_timeout_ms":2000}}'
    changes+=',{"put_rank":{"rank":"routine","floor_percent":20,"start_timeout_ms":2000}}'
    for n in $(seq "$engines"); do
        centre=${centres[$((n % ${#centres[@]}))]}
        # shellcheck disable=SC2086
        standin "$dir/engine-$n" engine --name "engine-$n" --seed "$n" $engine_options
        engine_list+=,$address
        next_port
        sidecar=127.0.0.1:$port
        next_port
        "$bin/bulrushslip-sidecar" --listen "$sidecar" --operator-listen "127.0.0.1:$port" \
            --platform "$platform" --name "sidecar-$n" --data-centre "$centre" \
            --upstream "engine-$n" --engine "$address" --policy "$policy" \
            >"$dir/sidecar-$n" 2>&1 &
        pids+=($!)
        operators+=("$policy 127.0.0.1:$port")
        changes+=',{"put_upstream":{"name":"engine-'$n'","data_centre":"'$centre'","sidecar":"'$sidecar'",'
        changes+='"kind":{"engine":{"model":"model","version":"v1","checks_fence":true}},"slots":8}}'
    done
    echo "[$changes]" >"$dir/changes.json"
    "$bin/bulrushslip-ctl" apply --platform "$platform" "$dir/changes.json" >"$dir/apply"
    for n in $(seq "$entries"); do
        next_port
        entry=127.0.0.1:$port
        next_port
        "$bin/bulrushslip-entry" --listen "$entry" --operator-listen "127.0.0.1:$port" \
            --platform "$platform" --name "entry-$n" --data-centre "${centres[0]}" \
            --policy "$policy" >"$dir/entry-$n" 2>&1 &
        pids+=($!)
        entry_operators+=("$policy 127.0.0.1:$port")
        entry_list+=,$entry
    done
    targets+=(--target "$policy=${entry_list#,}@${engine_list#,}")
}

# Prints the dumps of all sidecars of a policy.
dumps() {
    local row
    for row in "${operators[@]}"; do
        [ "${row% *}" = "$1" ] && "$bin/bulrushslip-ctl" dump --operator "${row#* }"
    done
}

# Prints the service of each rank by the sidecars of a policy, in microseconds.
service() {
    dumps "$1" | tr -d ' ,\n' | grep -o '"served_us":{"routine":[0-9]*"urgent":[0-9]*' |
        awk -F '[:"]+' '{ routine += $5; urgent += $7 } END { print urgent + 0, routine + 0 }'
}

# Shows how the service was shared between two moments of the run.
show_shares() {
    local policy
    sleep "$SHARE_FROM"
    for policy in "${policies[@]}"; do service "$policy" >"$out/$policy/service-from"; done
    sleep $((SHARE_UNTIL - SHARE_FROM))
    for policy in "${policies[@]}"; do
        service "$policy" | paste "$out/$policy/service-from" - | awk -v policy="$policy" '{
            urgent = $3 - $1; routine = $4 - $2
            printf "%s: service from %d s to %d s: urgent %.1f s, routine %.1f s (%.1f %%)\n",
                policy, from, until, urgent / 1e6, routine / 1e6, 100 * routine / (urgent + routine)
        }' from="$SHARE_FROM" until="$SHARE_UNTIL" >"$out/$policy/service"
    done
}

operators=()
entry_operators=()
targets=()
for policy in "${policies[@]}"; do
    fleet "$policy"
done
# Time for the configuration to reach all processes; the load would otherwise begin with refusals.
sleep "${SETTLE:-3}"
if [ -n "${SHARE_FROM:-}" ]; then
    show_shares &
    shares=$!
fi
"$bin/bulrushslip-load" run "${targets[@]}" --json "$out/figures.json" "$@"
if [ -n "${SHARE_FROM:-}" ]; then
    wait "$shares"
    for policy in "${policies[@]}"; do cat "$out/$policy/service"; done
fi
for row in "${operators[@]}" "${entry_operators[@]}"; do
    "$bin/bulrushslip-ctl" dump --operator "${row#* }" >>"$out/${row% *}/dumps"
done
echo "logs and figures: $out"
