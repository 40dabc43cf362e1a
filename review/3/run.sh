#!/usr/bin/env bash
# Runs case 3; TROUBLE=0 leaves the spoiled headers out. Exit code: 1 broken, 0 held, 2 not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/bulrushslip-gateway ] && [ -x target/review/stand ] || exit 2
exec timeout -s TERM 118 target/review/stand weights review/3
