#!/usr/bin/env bash
# HEAD on a route of streams, on a kept connection. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/review_cases_3 ] || exit 2
exec timeout 60 target/review-3/review_cases_3 head-request review/15/record.txt
