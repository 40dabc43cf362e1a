# Starts and measures processes for the scripts in this folder; sourced, not run.
# Sets work (a directory), bin, pids and names; stops what was started when the script ends.

readonly START_TIMEOUT_S=30

bin=${CARGO_TARGET_DIR:-target}/release
work=$(mktemp -d)
pids=()
names=()
stop_all() {
    [ ${#pids[@]} -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

# start NAME BINARY ARGUMENT...: runs a binary in the background.
start() {
    local name=$1 binary=$2
    shift 2
    "$bin/$binary" "$@" >"$work/$name.out" 2>"$work/$name.err" &
    pids+=($!)
    names+=("$name")
}

# address NAME ROLE: waits until the process has opened its port and prints the address.
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

# engine_fleet COUNT ENGINE_ARGUMENT...: platform, engines with their sidecars, and one entry.
# Uses API_KEY; sets platform and entry.
engine_fleet() {
    local count=$1 n changes
    shift
    start platform bulrushslip-standin platform --listen 127.0.0.1:0
    platform=$(address platform platform)
    local common=(--listen 127.0.0.1:0 --operator-listen 127.0.0.1:0 --platform "$platform"
        --data-centre d)
    changes='{"put_model":{"name":"model","version":"v1"}},'
    changes+="{\"put_customer\":{\"name\":\"agency\",\"ranks\":[\"urgent\"],\"max_in_flight\":64,"
    changes+="\"bearer_hashes\":[\"$("$bin/bulrushslip-ctl" hash "$API_KEY")\"]}}"
    for ((n = 1; n <= count; n++)); do
        start "engine-$n" bulrushslip-standin engine --listen 127.0.0.1:0 "$@"
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
    local deadline=$((SECONDS + START_TIMEOUT_S))
    until "$bin/bulrushslip-ctl" request --entry "$entry" --api-key "$API_KEY" --model model x \
        >/dev/null 2>&1; do
        ((SECONDS < deadline)) || return 1
        sleep 0.05
    done
}

# ticks PATTERN: processor ticks used so far by the processes whose names match.
ticks() {
    local i sum=0
    for i in "${!pids[@]}"; do
        [[ ${names[$i]} =~ $1 ]] || continue
        sum=$((sum + $(awk '{print $14 + $15}' "/proc/${pids[$i]}/stat")))
    done
    echo "$sum"
}

# resident_mb PATTERN: largest resident memory of the processes whose names match, in MB.
resident_mb() {
    local i
    for i in "${!pids[@]}"; do
        [[ ${names[$i]} =~ $1 ]] || continue
        awk '/^VmRSS/ {print $2 / 1024}' "/proc/${pids[$i]}/status"
    done | sort -n | tail -1
}
