#!/usr/bin/env bash
# Clients omit the first stage of a route. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/review_cases_3 ] || exit 2
exec timeout 60 target/review-3/review_cases_3 omitted-stage review/12/record.txt
