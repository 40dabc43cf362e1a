#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
if [ ! -x target/review-2/review-2 ] || [ ! -x target/release/bulrushslip-gateway ]; then
    echo "build the deploy file's program and run review/build-2.sh first" >&2
    exit 2
fi
exec target/review-2/review-2 joined "review/6"
