#!/usr/bin/env bash
# Measures the bytes between an entry and its sidecars for each request and each token.
# Counts what the connections that are open at the end have carried, without TCP and IP headers.
# usage: bench/bytes.sh
set -euo pipefail
cd "$(dirname "$0")/.."

readonly API_KEY="bytes-key-agency-0001"
readonly SIDECARS=6
# Requests and tokens of each size.
readonly SIZES=("500 1" "500 17")

cargo build --release --locked --quiet
# shellcheck source=bench/lib.sh
source bench/lib.sh
engine_fleet "$SIDECARS" --decode-us 200 --prefill-us 0

# carried: bytes sent and received on the entry's connections to the sidecars.
carried() {
    local n port filter=""
    for ((n = 1; n <= SIDECARS; n++)); do
        port=$(address "sidecar-$n" sidecar)
        filter+="${filter:+ or }dport = :${port##*:}"
    done
    ss -tinH state established "( $filter )" | grep -o 'bytes_\(sent\|received\):[0-9]*' |
        awk -F: '{sum += $2} END {print sum + 0}'
}

for size in "${SIZES[@]}"; do
    read -r requests tokens <<<"$size"
    before=$(carried)
    "$bin/bulrushslip-load" path --entry "$entry" --engine "$(address engine-1 engine)" \
        --api-key "$API_KEY" --requests "$requests" --tokens "$tokens" >/dev/null
    used=$(($(carried) - before))
    echo "$requests requests of $tokens tokens: $((used / requests)) bytes a request"
done
before=$(carried)
sleep 20
echo "idle: $((($(carried) - before) / 20)) bytes a second on the entry's connections to sidecars"
