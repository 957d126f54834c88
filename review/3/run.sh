#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out
# the SIGTERM.
cd "$(dirname "$0")/../.." || exit 2
driver=target/review/release/stopped_relay
[ -x "$driver" ] && [ -x target/release/masticsill ] || { echo "build first" >&2; exit 2; }
exec "$driver" review/3/record.txt
