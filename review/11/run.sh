#!/usr/bin/env bash
# Stage engines answer twice, late, while their number crosses 24. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/review_cases_3 ] || exit 2
exec timeout 118 target/review-3/review_cases_3 late-copy review/11/record.txt
