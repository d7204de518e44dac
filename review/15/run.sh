#!/usr/bin/env bash
# An engine fails orders that it has run with 503. See claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/review_cases_3 ] || exit 2
exec timeout 60 target/review-3/review_cases_3 unmarked-failure review/15/record.txt
