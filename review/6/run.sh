#!/usr/bin/env bash
# Runs the case. Exit status: 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves out the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
cases=target/review-2/review_cases
if [ ! -x "$cases" ] || [ ! -x target/bin/almondtiller_gateway ]; then
    echo "build the deploy file and run review/build-2.sh first" >&2
    exit 2
fi
timeout 115 "$cases" doubled_rejection "$here/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
