#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/almondtiller_gateway ] && [ -x review/out/two_owners ] || exit 2
timeout 118 review/out/two_owners review/3/record.txt
result=$?
[ "$result" -le 1 ] || exit 2
exit "$result"
